import * as fc from "fast-check";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { LeaseBound } from "./lease_bound.ts";
import { RUN_LEASE_MS, START_LEASE_MS } from "./timing.ts";

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

  // Pattern: starts keep coming to a runner that has just fallen silent.
  it("is not put off by starts that a granted lease covers", async () => {
    const clock = new FakeClock();
    const bound = new LeaseBound(clock);
    bound.observe(0);
    const untilMs = bound.grant();
    const { endMs } = bound;
    await clock.advance(RUN_LEASE_MS - START_LEASE_MS);
    assert.is(bound.grantForStart(), untilMs);
    assert.is(bound.endMs, endMs);
    await clock.advance(1);
    assert.ok((bound.grantForStart() ?? 0) > (untilMs ?? 0));
  });

  it("is never before a lease ends on a clock that is up to 2 % slow", async () => {
    const exchange = fc.record({
      latencyMs: fc.integer({ min: 0, max: MAX_LATENCY_MS }),
      pauseMs: fc.integer({ min: 0, max: 3_000 }),
      isStart: fc.boolean(),
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
          for (const { latencyMs, pauseMs, isStart } of exchanges) {
            const runnerMs = readRunner();
            await clock.advance(latencyMs);
            bound.observe(runnerMs);
            await clock.advance(pauseMs);
            const untilMs = isStart ? bound.grantForStart() : bound.grant();
            lastUntilMs = Math.max(lastUntilMs, untilMs ?? 0);
          }
          const trueEndMs = lastUntilMs / rate;
          assert.ok(bound.endMs >= trueEndMs, `${bound.endMs} < ${trueEndMs}`);
        },
      ),
      { seed: SEED },
    );
  });
});
