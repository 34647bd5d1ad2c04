import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  JobRecord,
  jobSpecSchema,
  type RunningTask,
} from "../../domain/index.ts";
import { beforeEach, describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLog, FakeLogAgreement } from "../../testing/fake_log.ts";
import { LeaseGrants } from "./lease_grants.ts";
import { LeaseTracker } from "./lease_tracker.ts";
import { RunnerStatus } from "./runner_status.ts";
import { SchedulingLog } from "./scheduling_log.ts";

const TASK = `${"0".repeat(16)}.0.0.0`;

function createRun(): RunningTask {
  const spec = v.parse(jobSpecSchema, {
    jobId: "0".repeat(16),
    text: "",
    steps: [{ taskCount: 1, needs: {} }],
  });
  const [step] = spec.steps;
  assert.ok(step);
  const job = new JobRecord({
    spec,
    queue: "q",
    pool: "bay",
    team: undefined,
    maxAttempts: 3,
    acceptedAtMs: 0,
  });
  return {
    job,
    id: { jobId: spec.jobId, occurrence: 0, step: 0, index: 0 },
    step,
    runNumber: 1,
    saved: "",
    life: { runnerId: "r1", bornAtMs: 1 },
    startedAtMs: 0,
  };
}

describe("lease grants", () => {
  let agreement: FakeLogAgreement;
  let running: Map<string, RunningTask>;
  let status: RunnerStatus;
  let grants: LeaseGrants;
  let onReadClock: () => void;
  const run = createRun();

  beforeEach(() => {
    const clock = new FakeClock();
    onReadClock = () => {};
    const watchedClock = Object.assign(Object.create(clock), {
      steadyMs: () => {
        onReadClock();
        return clock.steadyMs();
      },
    });
    agreement = new FakeLogAgreement(new FakeLog(clock, new SeededRandom(1)));
    running = new Map([[TASK, run]]);
    status = new RunnerStatus(clock);
    status.isSynced = true;
    const lease = new LeaseTracker(watchedClock);
    lease.observe(0);
    grants = new LeaseGrants({
      log: new SchedulingLog({ agreement, clock }),
      status,
      lease,
      findLoad: () => ({ running, used: run.step.needs, version: 1 }),
    });
  });

  it("renews the leases of a runner that responds, and starts its runs", () => {
    assert.ok((grants.renew() ?? 0) > 0);
    assert.ok((grants.grantForStart(run) ?? 0) > 0);
  });

  // Guards against a task that runs twice at once: a late answer brings a runner
  // back into use whose removal has been proposed.
  it("are refused for good once a removal is decided", () => {
    status.close();
    status.recordAnswer();
    assert.is(grants.renew(), undefined);
    assert.is(grants.grantForStart(run), undefined);
    assert.not(status.isOperational);
  });

  // Guards against a task that runs twice at once: a start is repeated although
  // the log has ended the run meanwhile.
  it("are refused for a run that the log no longer places there", () => {
    running.set(TASK, { ...run, runNumber: 2 });
    assert.is(grants.grantForStart(run), undefined);
    running.clear();
    assert.is(grants.grantForStart(run), undefined);
    assert.is(grants.renew(), undefined);
  });

  // Guards against a lease that begins after the leadership has ended: the
  // process was suspended between the check and the calculation.
  it("are refused when the leadership ends while the lease is computed", () => {
    onReadClock = () => {
      agreement.isLeader = false;
    };
    assert.is(grants.renew(), undefined);
    agreement.isLeader = true;
    assert.is(grants.grantForStart(run), undefined);
  });
});
