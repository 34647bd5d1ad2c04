import * as assert from "uvu/assert";
import * as v from "valibot";
import { JobRecord, jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { NO_ROOM } from "./fleet_room.ts";
import { type OrderPolicy, SlackOrderPolicy } from "./order_policy.ts";
import type { ReadyStep } from "./ready_step.ts";
import { RunDelays } from "./run_delays.ts";

const QUEUE = "q";
const ESTIMATE_MS = 600;
const SLACK_MS = 1_000;
const STEP = v.parse(jobStepSchema, {
  taskCount: 1,
  needs: { cpuMillicores: 1_000 },
  estimateMs: ESTIMATE_MS,
});

function createReadyStep(
  dueMs: number,
  criticalStepCount = 1,
  queue = QUEUE,
): ReadyStep {
  const job = new JobRecord({
    spec: { jobId: String(dueMs).padStart(16, "0"), text: "", steps: [STEP] },
    queue,
    pool: "bay",
    team: undefined,
    maxAttempts: 1,
    acceptedAtMs: dueMs,
  });
  const record = job.occurrences[0]?.[0];
  assert.ok(record);
  return {
    job,
    occurrence: 0,
    stepIndex: 0,
    step: STEP,
    record,
    pool: "bay",
    priority: 0,
    advice: undefined,
    targetEndMs: dueMs + ESTIMATE_MS + SLACK_MS,
    criticalPathMs: ESTIMATE_MS,
    criticalStepCount,
  };
}

describe("order by slack", () => {
  const NOW_MS = 5_000;

  function createDelays(delayMs: number, runCount = 200): RunDelays {
    const delays = new RunDelays();
    for (let count = 0; count < runCount; count += 1) {
      delays.record(QUEUE, delayMs, NOW_MS);
    }
    return delays;
  }

  it("learns the delay of a queue's runs", () => {
    const delayMs = createDelays(400).find(QUEUE, NOW_MS);
    assert.ok(Math.abs(delayMs - 400) < 1, `learned ${delayMs} ms`);
    assert.is(new RunDelays().find(QUEUE, NOW_MS), 0);
  });

  it("places a step that would be late with the usual delay behind others", () => {
    const nowMs = NOW_MS;
    const tight = createReadyStep(nowMs - 700);
    const fresh = createReadyStep(nowMs);
    const steps = [fresh, tight];
    assert.is(new SlackOrderPolicy().sort(steps, nowMs)[0], tight);
    const delayed = new SlackOrderPolicy(createDelays(400));
    assert.is(delayed.sort(steps, nowMs)[0], fresh);
  });

  it("counts the delay for each step of the critical path", () => {
    const nowMs = NOW_MS;
    const chain = createReadyStep(nowMs - 100, 3);
    const single = createReadyStep(nowMs - 50, 1);
    const policy = new SlackOrderPolicy(createDelays(400));
    assert.is(policy.sort([chain, single], nowMs)[0], single);
  });

  // Guards against a queue that gets no runner any more while another one fills
  // them: one of its runs took far longer than estimated, all its steps counted
  // as late for that, and no other run corrected the average.
  it("places the steps of a queue in turn after one run took very long", () => {
    const nowMs = NOW_MS;
    const other = createReadyStep(nowMs, 1, "other");
    const earlier = createReadyStep(nowMs - 100);
    const delays = createDelays(100);
    delays.record(QUEUE, 60_000, nowMs);
    const policy = new SlackOrderPolicy(delays);
    assert.is(policy.sort([other, earlier], nowMs)[0], earlier);
  });

  // Guards against the same after many slow runs in a row, as in an outage.
  it("places the steps of a queue in turn again some time after an outage", () => {
    const delays = createDelays(4_000, 60);
    const policy = new SlackOrderPolicy(delays);
    const findFirst = (nowMs: number) => {
      const other = createReadyStep(nowMs, 1, "other");
      const earlier = createReadyStep(nowMs - 100);
      return policy.sort([other, earlier], nowMs)[0]?.job.queue;
    };
    assert.is(findFirst(NOW_MS), "other");
    assert.is(findFirst(NOW_MS + 20_000), QUEUE);
  });

  // Guards against an overload in which nearly every job is late: a queue asks
  // for half as much again as its runners carry out, and each run takes longer
  // than estimated, because the leader is late. The steps with the least slack
  // then start when their job can no longer end in time.
  describe("a queue that asks for more than its runners carry out", () => {
    const ARRIVAL_INTERVAL_MS = 20;
    const JOB_COUNT = 400;
    const SLOT_COUNT = 30;
    const DELAY_MS = 300;
    const TICK_MS = 20;

    function countInTime(policy: OrderPolicy, delays?: RunDelays): number {
      let waiting: ReadyStep[] = [];
      const slotEndsMs: number[] = Array(SLOT_COUNT).fill(0);
      let inTimeCount = 0;
      for (let nowMs = 0; nowMs < JOB_COUNT * TICK_MS; nowMs += TICK_MS) {
        if (nowMs % ARRIVAL_INTERVAL_MS === 0) {
          waiting.push(createReadyStep(nowMs));
        }
        const sorted = [...policy.sort(waiting, nowMs, NO_ROOM)];
        slotEndsMs.forEach((endMs, slot) => {
          const next = endMs <= nowMs ? sorted.shift() : undefined;
          if (next !== undefined) {
            const doneMs = nowMs + ESTIMATE_MS + DELAY_MS;
            slotEndsMs[slot] = doneMs;
            delays?.record(QUEUE, DELAY_MS, nowMs);
            inTimeCount += Number(doneMs <= next.targetEndMs);
          }
        });
        waiting = sorted;
      }
      return inTimeCount;
    }

    it("still serves most of what its runners carry out in time", () => {
      const capacityCount = SLOT_COUNT * JOB_COUNT * TICK_MS /
        (ESTIMATE_MS + DELAY_MS);
      const delays = new RunDelays();
      const count = countInTime(new SlackOrderPolicy(delays), delays);
      assert.ok(
        count >= 0.8 * capacityCount,
        `${count} of ${Math.floor(capacityCount)} jobs in time`,
      );
    });

    it("serves fewer in time when the delay of its runs is unknown", () => {
      const delays = new RunDelays();
      const count = countInTime(new SlackOrderPolicy(delays), delays);
      assert.ok(countInTime(new SlackOrderPolicy()) < count / 2);
    });
  });
});
