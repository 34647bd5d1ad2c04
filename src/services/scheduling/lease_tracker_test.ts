import * as fc from "fast-check";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { isOtherClock, LeaseTracker } from "./lease_tracker.ts";
import {
  CLOCK_STEP_MS,
  MAX_READING_AGE_MS,
  MIN_START_LEASE_MS,
  RUN_LEASE_MS,
} from "./timing.ts";

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

  // Guards against a task that runs twice at once after a change of leader: the
  // next leader expects one lease, and a runner that had been idle got more.
  it("grants one lease at most, however old the reading of a slow clock is", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.double({ min: MIN_RATE, max: 1, noNaN: true }),
        fc.integer({ min: 0, max: MAX_READING_AGE_MS }),
        async (rate, ageMs) => {
          const clock = new FakeClock();
          const lease = new LeaseTracker(clock);
          lease.observe(0);
          await clock.advance(ageMs);
          const leaseMs = (lease.grant() ?? 0) - clock.steadyMs() * rate;
          assert.ok(leaseMs <= RUN_LEASE_MS, `${leaseMs} ms`);
          assert.ok(leaseMs >= MIN_START_LEASE_MS, `${leaseMs} ms`);
        },
      ),
      { seed: SEED },
    );
  });

  // Guards against a runner whose own answers are taken for those of a successor:
  // its clock is slow, its reading is old, or a later answer has overtaken them.
  it("never takes a slow clock for that of a successor", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.double({ min: MIN_RATE, max: 1 / MIN_RATE, noNaN: true }),
        fc.integer({ min: 0, max: MAX_READING_AGE_MS }),
        fc.integer({ min: 0, max: 1_000 }),
        async (rate, ageMs, grantedMs) => {
          const clock = new FakeClock();
          const lease = new LeaseTracker(clock);
          const readRunner = () => Math.floor(clock.steadyMs() * rate);
          lease.observe(readRunner());
          await clock.advance(ageMs);
          const untilMs = lease.grant() ?? 0;
          const answeredMs = readRunner();
          assert.not(isOtherClock(untilMs, answeredMs));
          await clock.advance(grantedMs);
          lease.observe(readRunner());
          assert.not(isOtherClock(lease.grantForStart() ?? 0, readRunner()));
        },
      ),
      { seed: SEED },
    );
  });

  // Guards against a task that runs twice at once: the answer of a successor was
  // taken for one that a later answer had overtaken by up to 2 s.
  it("tells the clock of a successor that gives a longer lease", () => {
    const lease = new LeaseTracker(new FakeClock());
    lease.observe(CLOCK_STEP_MS + 1);
    const untilMs = lease.grant() ?? 0;
    assert.ok(isOtherClock(untilMs, 0));
    assert.not(isOtherClock(untilMs, 1));
  });

  it("asks for a reading once the newest one is old", async () => {
    const clock = new FakeClock();
    const lease = new LeaseTracker(clock);
    lease.observe(0);
    await clock.advance(MAX_READING_AGE_MS);
    assert.not(lease.needsReading);
    await clock.advance(1);
    assert.ok(lease.needsReading);
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
