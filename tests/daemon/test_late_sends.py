"""Tests that an attempt is not sent after its latest permitted time.

The event loop may get to an attempt so late that it has been given up.
"""

from tests.daemon import conftest

from agateshelf.core import effects
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import clock
from agateshelf.daemon import messages


def test_attempt_is_not_sent_after_its_latest_time(serve):
    async def script(request, sock):
        del request, sock
        return conftest.http_response()

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
        return await rig.driver.targets.run(running), list(rig.target.requests)

    end, requests = serve(script, run)
    assert end.kind is outcome_models.FailureKind.UNSENT
    assert not end.any_byte_sent
    assert requests == []
