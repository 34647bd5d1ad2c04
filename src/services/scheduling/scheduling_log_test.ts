import { Result } from "true-myth";
import * as assert from "uvu/assert";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  type Command,
  createFailure,
  type SchedulingOperation,
  type SchedulingState,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLog, FakeLogAgreement } from "../../testing/fake_log.ts";
import { FakeLeaderMetrics } from "../../testing/fake_ports.ts";
import type { OperationMeter } from "./operation_meter.ts";
import { SchedulingLog } from "./scheduling_log.ts";

const SEED = 20_204;
const MAX_DELAY_MS = 500;
const MAX_PERCENT = 100;
const ZONE = "zone-a";
const TAKE_ZONE_OUT: SchedulingOperation = {
  type: "zone",
  zone: ZONE,
  isOut: true,
};

/** Collects whether a zone was out when a batch was begun and recorded. */
class FakeMeter implements OperationMeter {
  readonly seen: string[] = [];

  begin(
    _operations: readonly SchedulingOperation[],
    state: SchedulingState,
  ): () => void {
    this.seen.push(`begin ${state.zonesOut.has(ZONE)}`);
    return () => this.seen.push(`record ${state.zonesOut.has(ZONE)}`);
  }
}

describe("scheduling log", () => {
  function setUp() {
    const clock = new FakeClock();
    const fakeLog = new FakeLog(clock, new SeededRandom(SEED));
    const metrics = new FakeLeaderMetrics();
    const agreement = new FakeLogAgreement(fakeLog);
    const log = new SchedulingLog({ agreement, clock, metrics });
    return { clock, fakeLog, metrics, log };
  }

  // Guards against slow commits that no metric shows.
  it("records the time of a commit", async () => {
    const { clock, fakeLog, metrics, log } = setUp();
    fakeLog.setFaults({ maxDelayMs: MAX_DELAY_MS });
    await clock.runUntil(log.propose([]), MAX_DELAY_MS);
    const tookMs = clock.monotonicMs();
    assert.ok(tookMs > 0);
    assert.equal(metrics.commits, [{ outcome: "applied", tookMs }]);
  });

  it("records a refused proposal by its error kind", async () => {
    const { fakeLog, metrics, log } = setUp();
    fakeLog.setFaults({ refusedPercent: MAX_PERCENT });
    await log.propose([]);
    assert.equal(metrics.commits, [{ outcome: "notLeader", tookMs: 0 }]);
  });

  // Guards against runs, waits and jobs that no counter shows, because their
  // batch took effect after the leader had stepped down.
  it("measures a batch that takes effect after an unknown outcome", async () => {
    const agreement = new FakeAgreement(new FakeClock());
    let pending: Command | undefined;
    agreement.propose = (command) => {
      pending = command;
      return Promise.resolve(
        Result.err(createFailure("noQuorum", "the leader stepped down")),
      );
    };
    const meter = new FakeMeter();
    const log = new SchedulingLog({
      agreement,
      clock: new FakeClock(),
      meter,
    });
    const proposed = await log.propose([TAKE_ZONE_OUT]);
    assert.ok(proposed.isErr);
    assert.equal(meter.seen, []);
    assert.ok(pending);
    agreement.state.apply(pending);
    assert.equal(meter.seen, ["begin false", "record true"]);
  });

  it("measures no batch that another process proposed", () => {
    const agreement = new FakeAgreement(new FakeClock());
    const meter = new FakeMeter();
    const log = new SchedulingLog({
      agreement,
      clock: new FakeClock(),
      meter,
    });
    agreement.state.apply({
      type: "scheduling",
      atMs: 0,
      operations: [TAKE_ZONE_OUT],
    });
    assert.ok(log.state.zonesOut.has(ZONE));
    assert.equal(meter.seen, []);
  });
});
