import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  EMPTY_CATALOG,
  indexTeams,
  jobStepSchema,
  type JobTeam,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_373;
const TASK_COUNT = 6;
const MILLICORES = 500;
const WORK_MS = 600;

function createTeam(
  keys: string[],
  cpuMillicores: number,
  name = "team",
): JobTeam {
  return {
    name,
    keys,
    priority: 0,
    weight: 1,
    limit: { cpuMillicores, memoryMb: 0, gpuCount: 0 },
  };
}

// Guards against QUOTA and LOST: teams that share a name shared one limit, that
// of the first or of the last one.
describe("teams that share a name", () => {
  describe("each", () => {
    it("use as much at once as their own limit allows", async () => {
      const fixture = new SchedulingFixture({
        clock: new FakeClock(),
        random: new SeededRandom(SEED),
        runnerIds: ["r1", "r2"],
      });
      const { clock, runners, state: { scheduling } } = fixture;
      const teams = [
        createTeam(["key"], 2 * MILLICORES),
        createTeam(["key-2"], MILLICORES),
      ];
      fixture.apply({
        type: "scheduling",
        atMs: 0,
        operations: [{
          type: "catalog",
          catalog: { ...scheduling.catalog, version: 2, teams },
        }],
      });
      fixture.changeLeader();
      await clock.advance(2_000);
      const step = v.parse(jobStepSchema, {
        taskCount: TASK_COUNT,
        needs: { cpuMillicores: MILLICORES },
        estimateMs: WORK_MS,
      });
      const submit = (jobId: string, key: string) =>
        clock.runUntil(fixture.submit(jobId, [step], { key }), 1_000);
      assert.ok(await submit("a".repeat(16), "key"));
      assert.ok(await submit("b".repeat(16), "key-2"));
      await clock.advance(TASK_COUNT * 3 * WORK_MS);
      runners.advanceAll();
      await fixture.stop();
      const countMost = (jobId: string) => {
        const spans = runners.spans.filter(({ task }) =>
          task.startsWith(jobId)
        );
        assert.ok(spans.every(({ how }) => how === "done"));
        return Math.max(
          ...spans.map(({ fromMs }) =>
            spans.filter((other) =>
              other.fromMs <= fromMs && fromMs < other.toMs
            ).length
          ),
        );
      };
      assert.is(countMost("a"), 2);
      assert.is(countMost("b"), 1);
    });
  });

  describe("have ids", () => {
    it("that differ from each other and from all names", () => {
      const teams = [
        createTeam(["k1"], 1),
        createTeam(["k2"], 2),
        createTeam(["k3"], 3, "team#2"),
        createTeam(["k4"], 4),
      ];
      const { byId, idsByKey } = indexTeams({ ...EMPTY_CATALOG, teams });
      assert.is(byId.size, teams.length);
      assert.is(byId.get("team")?.limit.cpuMillicores, 1);
      assert.is(byId.get("team#2")?.limit.cpuMillicores, 3);
      assert.equal(
        ["k1", "k2", "k3", "k4"].map((key) => idsByKey.get(key)),
        ["team", "team#3", "team#2", "team#4"],
      );
    });
  });
});
