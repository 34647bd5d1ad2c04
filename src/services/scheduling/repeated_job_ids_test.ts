import * as assert from "uvu/assert";
import type { JobQueue } from "../../domain/index.ts";
import { beforeEach, describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import type { JobCall } from "./job_call.ts";
import { JobService } from "./job_service.ts";
import { SchedulingLog } from "./scheduling_log.ts";

const WAIT_MS = 1_000;
const JOB_ID = "00000000000000a1";
const CAPTURE_PATH = `/captures/${JOB_ID}`;
const ORDER_PATH = `/orders/${JOB_ID}`;
const WORK: JobCall["work"] = {
  text: "build",
  steps: [{ taskCount: 1, needs: { cpuMillicores: 100 } }],
} as JobCall["work"];
const CAPTURES: JobQueue = {
  name: "captures",
  host: "h",
  pathPrefix: "/captures/",
  pool: "bay",
  isPublic: true,
  priority: 0,
  maxAttempts: 2,
  timeoutMs: 3_000,
  stretch: 1,
  targetLatencyMs: 0,
};

// Guards against LOST: a job was acknowledged, and never ran, because a job of
// another queue had its id; its callers read and cancelled that one.
describe("jobs of two queues with one id", () => {
  let clock: FakeClock;
  let log: SchedulingLog;
  let service: JobService;

  beforeEach(async () => {
    clock = new FakeClock();
    log = new SchedulingLog({ agreement: new FakeAgreement(clock), clock });
    service = new JobService({ log, logger: new FakeLogger() });
    const catalog = {
      version: 1,
      queues: [
        CAPTURES,
        { ...CAPTURES, name: "orders", pathPrefix: "/orders/" },
      ],
      pools: [{ name: "bay", isStandby: false, guardsCapacity: false }],
      teams: [],
      source: "",
    };
    await clock.runUntil(log.propose([{ type: "catalog", catalog }]), WAIT_MS);
  });

  function answer(action: JobCall["action"], path: string) {
    return service.answer({
      action,
      host: "h",
      path,
      requestId: "request",
      work: WORK,
    });
  }

  async function call(action: JobCall["action"], path: string) {
    const answered = await clock.runUntil(answer(action, path), WAIT_MS);
    return answered.isOk ? answered.value.state : answered.error.kind;
  }

  describe("one after the other", () => {
    it("are accepted once, and the second one is refused", async () => {
      assert.is(await call("submit", CAPTURE_PATH), "queued");
      assert.is(await call("submit", ORDER_PATH), "conflict");
      assert.is(await call("submit", CAPTURE_PATH), "queued");
    });

    it("are read and cancelled by callers of their own queue only", async () => {
      await call("submit", CAPTURE_PATH);
      assert.is(await call("read", ORDER_PATH), "jobUnknown");
      assert.is(await call("cancel", ORDER_PATH), "jobUnknown");
      assert.is(await call("read", CAPTURE_PATH), "queued");
      assert.is(await call("cancel", CAPTURE_PATH), "cancelled");
    });
  });

  describe("at the same time", () => {
    it("are accepted once", async () => {
      const both = [CAPTURE_PATH, ORDER_PATH].map((path) =>
        call("submit", path)
      );
      const answers = await Promise.all(both);
      assert.equal(answers, ["queued", "conflict"]);
    });
  });

  describe("of an earlier release", () => {
    it("are read as before", async () => {
      await clock.runUntil(
        log.propose([{
          type: "accept",
          spec: { ...WORK!, jobId: JOB_ID },
          queue: "captures",
          pool: "bay",
          maxAttempts: 2,
        }]),
        WAIT_MS,
      );
      assert.is(await call("read", CAPTURE_PATH), "queued");
      assert.is(await call("read", ORDER_PATH), "queued");
    });
  });
});
