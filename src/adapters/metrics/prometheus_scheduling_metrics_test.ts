import * as assert from "uvu/assert";
import type { SchedulingGauges } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeProcessUsage } from "../../testing/fake_ports.ts";
import { PrometheusSchedulingMetrics } from "./prometheus_scheduling_metrics.ts";

const GAUGES: SchedulingGauges = {
  term: 3,
  catalogVersion: 1,
  openJobCounts: new Map(),
  runnerCounts: new Map(),
  suspectRunnerCounts: new Map([["bay", 2]]),
  waitingTaskCounts: new Map([["bay", 4]]),
  freeMillicores: new Map([["bay", 2_500]]),
  delayedStepCounts: new Map([["beyondShare", 3]]),
  poolMillicores: new Map([
    ["bay", new Map([["free", 2_500], ["maintenance", 64_000]] as const)],
  ]),
  poolNeeds: new Map([
    ["bay", { wantedMillicores: 96_000, nextTurnMs: 2_500 }],
  ]),
};

function setUp(gauges: SchedulingGauges | undefined = GAUGES) {
  const usage = new FakeProcessUsage();
  const metrics = new PrometheusSchedulingMetrics({
    readGauges: () => gauges,
    readDroppedLineCount: () => 0,
    usage,
  });
  const listLines = async () => (await metrics.render()).split("\n");
  return { usage, metrics, listLines };
}

function assertIncludes(lines: readonly string[], line: string): void {
  assert.ok(lines.includes(line), line);
}

describe("scheduling metrics", () => {
  describe("of the process", () => {
    it("show its processor time as of the newest reading", async () => {
      const { usage, listLines } = setUp();
      usage.reading = { cpuMs: 1_000, loopActiveMs: 2_000 };
      await listLines();
      usage.reading = { cpuMs: 1_500, loopActiveMs: 3_500 };
      const lines = await listLines();
      assertIncludes(lines, "cardamomsill_process_cpu_seconds_total 1.5");
      assertIncludes(
        lines,
        "cardamomsill_event_loop_active_seconds_total 3.5",
      );
    });

    it("show how late its timers fired", async () => {
      const { metrics, listLines } = setUp();
      metrics.recordEventLoopDelay(300);
      const lines = await listLines();
      const name = "cardamomsill_event_loop_delay_seconds";
      assertIncludes(lines, `${name}_bucket{le="0.25"} 0`);
      assertIncludes(lines, `${name}_bucket{le="0.5"} 1`);
    });
  });

  describe("of the disk", () => {
    it("show stored and rejected writes", async () => {
      const { metrics, listLines } = setUp();
      metrics.recordDiskWrite("log", "stored", 20);
      metrics.recordDiskWrite("log", "rejected", 3);
      const lines = await listLines();
      const name = "cardamomsill_disk_write_seconds";
      assertIncludes(lines, `${name}_sum{kind="log",outcome="stored"} 0.02`);
      assertIncludes(lines, `${name}_count{kind="log",outcome="rejected"} 1`);
    });
  });

  describe("of the leader", () => {
    it("show commits, plans, requests to runners and removals", async () => {
      const { metrics, listLines } = setUp();
      metrics.recordCommit("applied", 20);
      metrics.recordPlan(4, 7);
      metrics.countRunnerRequest("poll", "unanswered");
      metrics.countRemovedRunner("leasesExpired");
      const lines = await listLines();
      for (
        const line of [
          'commit_seconds_bucket{le="0.025",outcome="applied"} 1',
          'plan_seconds_bucket{le="0.005"} 1',
          "planned_starts_total 7",
          'runner_requests_total{kind="poll",outcome="unanswered"} 1',
          'removed_runners_total{reason="leasesExpired"} 1',
        ]
      ) {
        assertIncludes(lines, `cardamomsill_${line}`);
      }
    });

    it("show suspect runners, and count what speaks against them", async () => {
      const { listLines, metrics } = setUp();
      metrics.countRunFault("still");
      const lines = await listLines();
      assertIncludes(lines, 'cardamomsill_suspect_runners{pool="bay"} 2');
      assertIncludes(lines, 'cardamomsill_run_faults_total{kind="still"} 1');
    });

    it("show waiting tasks beside free capacity while it leads", async () => {
      const lines = await setUp().listLines();
      assertIncludes(lines, 'cardamomsill_waiting_tasks{pool="bay"} 4');
      assertIncludes(lines, 'cardamomsill_free_millicores{pool="bay"} 2500');
    });

    it("show what the capacity of a pool is used for or withheld by", async () => {
      const lines = await setUp().listLines();
      const name = "cardamomsill_pool_millicores";
      assertIncludes(lines, `${name}{pool="bay",share="free"} 2500`);
      assertIncludes(lines, `${name}{pool="bay",share="maintenance"} 64000`);
    });

    it("show what a pool needs, and when its next turn is expected", async () => {
      const lines = await setUp().listLines();
      assertIncludes(
        lines,
        'cardamomsill_wanted_millicores{pool="bay"} 96000',
      );
      assertIncludes(lines, 'cardamomsill_next_turn_seconds{pool="bay"} 2.5');
    });
  });
});
