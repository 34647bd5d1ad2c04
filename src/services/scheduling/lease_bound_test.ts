import * as fc from "fast-check";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { LeaseBound } from "./lease_bound.ts";

const SEED = 20_264;
/** Slowest and fastest clock that a runner may have. */
const MIN_RATE = 0.98;
const MAX_LATENCY_MS = 300;

describe("end of the leases of a runner", () => {
  it("is not before a new leader has waited for those it does not know", () => {
    const clock = new FakeClock();
    assert.not(new LeaseBound(clock).isOver);
  });

  it("grants nothing before the runner's clock is known", () => {
    assert.is(new LeaseBound(new FakeClock()).grant(), undefined);
  });

  it("is never before a lease ends on a clock that is up to 2 % slow", async () => {
    const exchange = fc.record({
      latencyMs: fc.integer({ min: 0, max: MAX_LATENCY_MS }),
      pauseMs: fc.integer({ min: 0, max: 3_000 }),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.double({ min: MIN_RATE, max: 1, noNaN: true }),
        fc.array(exchange, { minLength: 1, maxLength: 8 }),
        async (rate, exchanges) => {
          const clock = new FakeClock();
          const bound = new LeaseBound(clock);
          const readRunner = () => clock.monotonicMs() * rate;
          let lastUntilMs = 0;
          for (const { latencyMs, pauseMs } of exchanges) {
            const runnerMs = readRunner();
            await clock.advance(latencyMs);
            bound.observe(runnerMs);
            await clock.advance(pauseMs);
            lastUntilMs = Math.max(lastUntilMs, bound.grant() ?? 0);
          }
          const trueEndMs = lastUntilMs / rate;
          assert.ok(bound.endMs >= trueEndMs, `${bound.endMs} < ${trueEndMs}`);
        },
      ),
      { seed: SEED },
    );
  });
});
