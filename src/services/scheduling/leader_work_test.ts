import * as assert from "uvu/assert";
import type { SchedulingGauges } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import {
  FakeLeaderMetrics,
  FakeLogger,
  FakeProcessUsage,
} from "../../testing/fake_ports.ts";
import { LeaderWork } from "./leader_work.ts";
import {
  LEADER_START_MS,
  LEADER_START_WORK_MS,
  LEADER_WORK_MS,
} from "./timing.ts";

const GAUGES: SchedulingGauges = {
  term: 2,
  catalogVersion: 1,
  openJobCounts: new Map(),
  runnerCounts: new Map([["sound", 3], ["silent", 1]]),
  waitingTaskCounts: new Map([["bay", 5]]),
  freeMillicores: new Map([["bay", 8_000]]),
  delayedStepCounts: new Map([["beyondShare", 3]]),
  poolMillicores: new Map([
    ["bay", new Map([["free", 8_000], ["cordoned", 16_000]] as const)],
  ]),
  poolNeeds: new Map([
    ["bay", { wantedMillicores: 12_000, nextTurnMs: 2_500 }],
  ]),
};

function setUp() {
  const clock = new FakeClock();
  const logger = new FakeLogger();
  const metrics = new FakeLeaderMetrics();
  const usage = new FakeProcessUsage();
  const work = new LeaderWork({ clock, logger, metrics, usage });
  const stop = new AbortController();
  const reporting = work.report(() => GAUGES, stop.signal);
  const end = async () => {
    stop.abort();
    await clock.runUntil(reporting, LEADER_WORK_MS);
  };
  return { clock, end, logger, metrics, usage, work };
}

describe("the work of a leader", () => {
  // Guards against a term whose first seconds no log line describes.
  it("is logged with counts and times of each span", async () => {
    const { clock, end, logger, usage, work } = setUp();
    work.countRunnerRequest("poll", "answered");
    work.countRunnerRequest("poll", "unanswered");
    work.countRunnerRequest("start", "answered");
    work.countRemovedRunner("ended");
    work.countRejectedJob({ queue: "q", team: "t" }, "teamBacklog");
    work.recordPlan(2, 4);
    work.recordPlan(6, 0);
    work.recordCommit("applied", 20);
    work.recordCommit("applied", 40);
    work.countMessage("scheduling.job");
    usage.reading = {
      cpuMs: LEADER_START_WORK_MS / 2,
      loopActiveMs: LEADER_START_WORK_MS,
    };
    await clock.advance(LEADER_START_WORK_MS);
    assert.equal(logger.lines, [{
      level: "info",
      fields: {
        term: 2,
        sinceMs: LEADER_START_WORK_MS,
        spanMs: LEADER_START_WORK_MS,
        cpuPercent: 50,
        loopActivePercent: 100,
        pollCount: 1,
        startCount: 1,
        stopCount: 0,
        failedRequestCount: 1,
        removedCount: 1,
        rejectedJobCount: 1,
        planCount: 2,
        plannedStartCount: 4,
        planMs: 8,
        longestPlanMs: 6,
        commitCount: 2,
        meanCommitMs: 30,
        longestCommitMs: 40,
        messages: { "scheduling.job": 1 },
        runners: { sound: 3, silent: 1 },
        waitingTasks: { bay: 5 },
        freeMillicores: { bay: 8_000 },
        poolCores: { bay: { free: 8, cordoned: 16 } },
        poolNeeds: { bay: { wantedCores: 12, nextTurnMs: 2_500 } },
      },
      message: "worked as the leader",
    }]);
    await end();
  });

  it("counts each thing in one span only", async () => {
    const { clock, end, logger, work } = setUp();
    work.countRunnerRequest("poll", "answered");
    await clock.advance(2 * LEADER_START_WORK_MS);
    assert.equal(
      logger.lines.map(({ fields }) => fields["pollCount"]),
      [1, 0],
    );
    await end();
  });

  it("is logged in longer spans after the start of the term", async () => {
    const { clock, end, logger } = setUp();
    await clock.advance(LEADER_START_MS + LEADER_WORK_MS);
    const spans = logger.lines.map(({ fields }) => fields["spanMs"]);
    assert.is(spans.length, LEADER_START_MS / LEADER_START_WORK_MS + 1);
    assert.is(spans.at(-1), LEADER_WORK_MS);
    await end();
  });

  it("reaches the metrics as well", async () => {
    const { end, metrics, work } = setUp();
    work.recordCommit("applied", 20);
    work.recordPlan(2, 4);
    work.countRunnerRequest("start", "refused");
    work.countRemovedRunner("replaced");
    work.countMessage("scheduling.ping");
    assert.equal(metrics.commits, [{ outcome: "applied", tookMs: 20 }]);
    assert.equal(metrics.planStartCounts, [4]);
    assert.equal([...metrics.requestCounts], [["start refused", 1]]);
    assert.equal(metrics.removals, ["replaced"]);
    assert.equal(metrics.methods, ["scheduling.ping"]);
    await end();
  });
});
