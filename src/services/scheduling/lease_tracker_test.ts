import * as fc from "fast-check";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { LeaseTracker } from "./lease_tracker.ts";
import { MIN_START_LEASE_MS, RUN_LEASE_MS } from "./timing.ts";

const SEED = 20_264;
/** Slowest and fastest clock that a runner may have. */
const MIN_RATE = 0.98;
const MAX_LATENCY_MS = 300;

describe("lease tracker", () => {
  it("counts a lease that an earlier leader may have granted", () => {
    const clock = new FakeClock();
    assert.not(new LeaseTracker(clock).isExpired);
  });

  it("grants nothing before the runner's clock is known", () => {
    assert.is(new LeaseTracker(new FakeClock()).grant(), undefined);
  });

  // Guards against a delayed expiry: starts keep coming to a runner that has
  // just stopped responding.
  it("does not extend the end for starts that a granted lease covers", async () => {
    const clock = new FakeClock();
    const lease = new LeaseTracker(clock);
    lease.observe(0);
    const untilMs = lease.grant();
    const { endMs } = lease;
    await clock.advance(RUN_LEASE_MS - MIN_START_LEASE_MS);
    assert.is(lease.grantForStart(), untilMs);
    assert.is(lease.endMs, endMs);
    await clock.advance(1);
    assert.ok((lease.grantForStart() ?? 0) > (untilMs ?? 0));
  });

  it("never ends before a lease ends on a clock that is up to 2 % slow", async () => {
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
          const lease = new LeaseTracker(clock);
          const readRunner = () => clock.monotonicMs() * rate;
          let lastUntilMs = 0;
          for (const { latencyMs, pauseMs, isStart } of exchanges) {
            const runnerMs = readRunner();
            await clock.advance(latencyMs);
            lease.observe(runnerMs);
            await clock.advance(pauseMs);
            const untilMs = isStart ? lease.grantForStart() : lease.grant();
            lastUntilMs = Math.max(lastUntilMs, untilMs ?? 0);
          }
          const trueEndMs = lastUntilMs / rate;
          assert.ok(lease.endMs >= trueEndMs, `${lease.endMs} < ${trueEndMs}`);
        },
      ),
      { seed: SEED },
    );
  });
});
