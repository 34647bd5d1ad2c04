import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  NoTrustPolicy,
  ScoredPlacementPolicy,
  SlackOrderPolicy,
  StartConditions,
  StartPlanner,
} from "../../decisions/index.ts";
import { jobStepSchema, type Runner } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  FakeAgreement,
  type ProposalFault,
} from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLeaderMetrics, FakeLogger } from "../../testing/fake_ports.ts";
import { Notifier } from "../../tasks/index.ts";
import { RunnerStatus } from "./runner_status.ts";
import { RunnerTrust } from "./runner_trust.ts";
import { Scheduler } from "./scheduler.ts";
import { SchedulingLog } from "./scheduling_log.ts";

const JOB_ID = "0123456789abcdef";
const POOL = "bay";
const RUNNER: Runner = {
  runnerId: "r1",
  bornAtMs: 1,
  address: "127.0.0.1:1",
  pool: POOL,
  zone: "zone-a",
  capacity: { cpuMillicores: 1_000, memoryMb: 100, gpuCount: 0 },
  rack: "r1",
  labels: [],
  isDraining: false,
};
const FIRST_START = [`${JOB_ID}.0.0.0#1@r1`];

function setUp(fault: ProposalFault = "none") {
  const clock = new FakeClock();
  const logger = new FakeLogger();
  const agreement = new FakeAgreement(clock);
  agreement.fault = fault;
  agreement.state.apply({
    type: "scheduling",
    atMs: 0,
    operations: [
      { type: "runner", runner: RUNNER },
      {
        type: "accept",
        spec: {
          jobId: JOB_ID,
          text: "",
          steps: [v.parse(jobStepSchema, {
            taskCount: 1,
            needs: { cpuMillicores: 100 },
          })],
        },
        queue: "q",
        pool: POOL,
        team: undefined,
        maxAttempts: 2,
      },
    ],
  });
  const status = new RunnerStatus(clock);
  status.isSynced = true;
  const log = new SchedulingLog({ agreement, clock });
  const metrics = new FakeLeaderMetrics();
  const scheduler = new Scheduler({
    log,
    trust: new RunnerTrust({
      log,
      clock,
      logger,
      metrics,
      policy: new NoTrustPolicy(),
    }),
    planner: new StartPlanner({
      order: new SlackOrderPolicy(),
      placement: new ScoredPlacementPolicy(),
    }),
    clock,
    logger,
    metrics,
    changed: new Notifier(),
    findStatus: () => status,
    findApproved: () => undefined,
    conditions: new StartConditions({
      isCordoned: () => false,
      findTicket: () => undefined,
    }),
    awaitsMaintenance: () => false,
  });
  const listTasks = (message: string) =>
    logger.lines.filter((line) => line.message === message)
      .map(({ fields }) => fields["tasks"]);
  const stop = new AbortController();
  void scheduler.run(stop.signal);
  return { agreement, clock, listTasks, stop };
}

describe("scheduler", () => {
  const PLACED = "placed tasks";
  const FAILED = "failed to record a plan in the log; planning again";

  it("logs the tasks of a plan once it is in the log", async () => {
    const { agreement, clock, listTasks, stop } = setUp();
    await clock.advance(agreement.proposeMs - 1);
    assert.equal(listTasks(PLACED), []);
    await clock.advance(1);
    assert.equal(listTasks(PLACED), [FIRST_START]);
    stop.abort();
  });

  // Guards against a task that runs although no log line says where it was
  // placed, because its plan took effect after a failed proposal.
  it("logs the tasks of a plan whose outcome was unknown", async () => {
    const { agreement, clock, listTasks, stop } = setUp(
      "appliedOutcomeUnknown",
    );
    await clock.advance(agreement.proposeMs);
    assert.ok(agreement.state.scheduling.jobs.find(JOB_ID)?.hasStarted);
    assert.equal(listTasks(PLACED), [FIRST_START]);
    assert.equal(listTasks(FAILED), [FIRST_START]);
    stop.abort();
  });

  // Guards against a failed plan that cannot be assigned to a job in the log.
  it("names the tasks of a plan that was not recorded", async () => {
    const { agreement, clock, listTasks, stop } = setUp("lost");
    await clock.advance(agreement.proposeMs);
    assert.equal(listTasks(FAILED), [FIRST_START]);
    assert.equal(listTasks(PLACED), []);
    stop.abort();
  });
});
