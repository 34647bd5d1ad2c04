import * as assert from "uvu/assert";
import { listReadySteps } from "../../decisions/index.ts";
import { type JobQueue, SchedulingState } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import type { JobCall } from "./job_call.ts";
import { JobService } from "./job_service.ts";
import { SchedulingLog } from "./scheduling_log.ts";

const WAIT_MS = 1_000;
const CAPTURE_ID = "00000000000000a1";
const ORDER_ID = "00000000000000b1";
const WORK: JobCall["work"] = {
  text: "build",
  steps: [{ taskCount: 1, needs: { cpuMillicores: 100 }, estimateMs: 100 }],
} as JobCall["work"];

const CAPTURES: JobQueue = {
  name: "same",
  host: "h",
  pathPrefix: "/captures/",
  pool: "bay",
  isPublic: true,
  priority: 1,
  maxAttempts: 2,
  timeoutMs: 3_000,
  stretch: 2,
  targetLatencyMs: 500,
};
/** Shares nothing but its name with the other queue. */
const ORDERS: JobQueue = {
  ...CAPTURES,
  pathPrefix: "/orders/",
  pool: "desk",
  priority: 0,
  stretch: 1,
  targetLatencyMs: 0,
};

// Guards against ROUTE: jobs of a queue ran in the pool of another queue that
// has the same name.
describe("queues that share a name", () => {
  async function createService(queues: readonly JobQueue[]) {
    const clock = new FakeClock();
    const agreement = new FakeAgreement(clock);
    const log = new SchedulingLog({ agreement, clock });
    const service = new JobService({ log, logger: new FakeLogger() });
    let version = 0;
    const put = (newQueues: readonly JobQueue[]) => {
      version += 1;
      const pools = ["bay", "desk"].map((name) => ({
        name,
        isStandby: false,
        guardsCapacity: false,
      }));
      const catalog = {
        version,
        queues: [...newQueues],
        pools,
        teams: [],
        source: "",
      };
      return clock.runUntil(
        log.propose([{ type: "catalog", catalog }]),
        WAIT_MS,
      );
    };
    const call = async (changes: Partial<JobCall>) => {
      const answered = await clock.runUntil(
        service.answer({
          action: "submit",
          requestId: "request",
          work: WORK,
          ...changes,
        }),
        WAIT_MS,
      );
      return answered.isOk ? answered.value : answered.error;
    };
    await put(queues);
    await call({ host: "h", path: `/captures/${CAPTURE_ID}` });
    await call({ host: "h", path: `/orders/${ORDER_ID}` });
    return { call, clock, log, put };
  }

  function findReadyStep(state: SchedulingState, jobId: string) {
    const ready = listReadySteps(state.jobs, state.catalog, 1_000);
    return ready.find(({ job }) => job.spec.jobId === jobId);
  }

  describe("ready steps", () => {
    for (const queues of [[CAPTURES, ORDERS], [ORDERS, CAPTURES]]) {
      const order = queues.map(({ pathPrefix }) => pathPrefix).join(" before ");

      it(`have the pool and the terms of their own queue, ${order}`, async () => {
        const { log } = await createService(queues);
        const capture = findReadyStep(log.state, CAPTURE_ID);
        const placed = findReadyStep(log.state, ORDER_ID);
        assert.is(capture?.pool, "bay");
        assert.is(capture?.priority, 1);
        assert.is(placed?.pool, "desk");
        assert.is(placed?.priority, 0);
        const { targetEndMs = 0, job } = placed ?? {};
        assert.is(targetEndMs - (job?.requestedAtMs ?? 0), 100);
      });
    }

    it("keep them when the next leader begins from a snapshot", async () => {
      const { log } = await createService([CAPTURES, ORDERS]);
      const restored = SchedulingState.restore(log.state.toItems());
      assert.is(findReadyStep(restored, ORDER_ID)?.pool, "desk");
      assert.is(findReadyStep(restored, CAPTURE_ID)?.pool, "bay");
    });

    it("keep their pool when their own queue is removed", async () => {
      const { log, put } = await createService([CAPTURES, ORDERS]);
      await put([CAPTURES]);
      assert.is(findReadyStep(log.state, ORDER_ID)?.pool, "desk");
    });

    it("follow their own queue to another pool", async () => {
      const { log, put } = await createService([CAPTURES, ORDERS]);
      await put([CAPTURES, { ...ORDERS, name: "other", pool: "bay" }]);
      assert.is(findReadyStep(log.state, ORDER_ID)?.pool, "bay");
    });
  });

  describe("pending jobs", () => {
    it("are counted for their own queue", async () => {
      const { call } = await createService([CAPTURES, ORDERS]);
      await call({ host: "h", path: "/orders/00000000000000b2" });
      const count = (path: string) => call({ action: "read", host: "h", path });
      assert.equal(await count("/captures/"), { pendingCount: 1 });
      assert.equal(await count("/orders/"), { pendingCount: 2 });
    });
  });

  describe("calls without a host", () => {
    it("are refused if they give the name, and nothing is accepted", async () => {
      const { call, log } = await createService([CAPTURES, ORDERS]);
      const path = "/00000000000000b3";
      const refused = await call({ path, queue: "same" });
      assert.is("kind" in refused && refused.kind, "invalidInput");
      assert.is(log.state.jobs.find(path.slice(1)), undefined);
    });

    it("reach the queue whose address they give", async () => {
      const { call, log } = await createService([CAPTURES, ORDERS]);
      const path = "/00000000000000b3";
      assert.equal(await call({ path, queue: "h/orders/" }), {
        state: "queued",
      });
      assert.is(findReadyStep(log.state, path.slice(1))?.pool, "desk");
    });

    it("read and cancel a known job", async () => {
      const { call } = await createService([CAPTURES, ORDERS]);
      const path = `/${ORDER_ID}`;
      assert.equal(await call({ action: "read", path }), { state: "queued" });
      assert.equal(await call({ action: "cancel", path }), {
        state: "cancelled",
      });
    });
  });
});
