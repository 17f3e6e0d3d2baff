"""What is no longer wanted is not sent, however late the loop gets to it."""

from tests.daemon import conftest

from agateshelf.core import effects
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import clock
from agateshelf.daemon import messages


def test_nothing_is_sent_after_the_time_of_an_attempt(serve):
    async def script(seen, sock):
        del seen, sock
        return conftest.plain()

    async def run(rig):
        effect = effects.StartAttempt(
            call=1,
            attempt=1,
            target="t0",
            address=rig.target.address,
            timeout=1.0,
            fresh=True,
            no_retry=True,
            not_after=clock.now() - 0.001,
        )
        request = messages.Request(b"POST", b"/", (), b"x", "203.0.113.9")
        running = rig.driver.targets.register(effect, request)
        return await rig.driver.targets.run(running), list(rig.target.seen)

    end, seen = serve(script, run)
    assert end.kind is outcome_models.FailureKind.UNSENT
    assert not end.any_byte_sent
    assert seen == []
