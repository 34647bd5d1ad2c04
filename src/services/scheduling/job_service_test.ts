import * as assert from "uvu/assert";
import {
  createFailure,
  type Runner,
  type SchedulingOperation,
  SchedulingState,
} from "../../domain/index.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import type { JobCall } from "./job_call.ts";
import { JobService } from "./job_service.ts";
import { SchedulingLog } from "./scheduling_log.ts";

const JOB_ID = "0123456789abcdef";
const WAIT_MS = 1_000;
const WORK: JobCall["work"] = {
  text: "build",
  steps: [{ taskCount: 1, needs: { cpuMillicores: 100 } }],
} as JobCall["work"];

const RUNNER: Runner = {
  runnerId: "r",
  bornAtMs: 1,
  address: "127.0.0.1:1",
  pool: "bay",
  zone: "zone-a",
  capacity: { cpuMillicores: 1_000, memoryMb: 100, gpuCount: 0 },
  rack: "r1",
  labels: [],
  isDraining: false,
};

async function createService(isRoom = () => true) {
  const clock = new FakeClock();
  const agreement = new FakeAgreement(clock);
  const logger = new FakeLogger();
  const log = new SchedulingLog({ agreement, clock });
  const findRejection = () =>
    isRoom() ? undefined : createFailure("overloaded", "no room");
  const service = new JobService({
    log,
    logger,
    findAdmission: () => ({ findRejection }),
  });
  const queue = {
    name: "q",
    host: "h",
    pathPrefix: "/q/",
    pool: "bay",
    isPublic: false,
    priority: 0,
    maxAttempts: 2,
    timeoutMs: 3_000,
    stretch: 1,
    targetLatencyMs: 0,
  };
  const open = {
    ...queue,
    name: "open",
    pathPrefix: "/q/open/",
    isPublic: true,
  };
  const put = (version: number, keys: string[]) =>
    log.propose([{
      type: "catalog",
      catalog: {
        version,
        queues: [queue, open],
        pools: [{ name: "bay", isStandby: false, guardsCapacity: false }],
        teams: [{
          name: "team",
          keys,
          priority: 0,
          weight: 1,
          limit: { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 },
        }],
        source: "",
      },
    }]);
  const run = <T>(promise: Promise<T>) => clock.runUntil(promise, WAIT_MS);
  const call = (changes: Partial<JobCall> = {}) =>
    run(service.answer({
      action: "submit",
      host: "h",
      path: `/q/${JOB_ID}`,
      key: "key",
      requestId: "request-1",
      work: WORK,
      ...changes,
    }));
  await run(put(1, ["key"]));
  return { agreement, call, clock, log, logger, put, run };
}

describe("calls about jobs", () => {
  describe("submit", () => {
    it("is accepted only once it is in the log", async () => {
      const { agreement, call, log } = await createService();
      agreement.fault = "lost";
      const lost = await call();
      assert.is(lost.isErr && lost.error.kind, "noQuorum");
      assert.is(log.state.jobs.find(JOB_ID), undefined);
      agreement.fault = "none";
      assert.ok((await call()).isOk);
      assert.is(log.state.jobs.find(JOB_ID)?.state, "queued");
    });

    it("creates one job when it is sent again", async () => {
      const { agreement, call } = await createService();
      await call();
      const count = agreement.commands.length;
      assert.ok((await call()).isOk);
      assert.is(agreement.commands.length, count);
    });

    it("creates one job when it is sent again after an unknown outcome", async () => {
      const { agreement, call, log } = await createService();
      agreement.fault = "appliedOutcomeUnknown";
      assert.ok((await call()).isErr);
      agreement.fault = "none";
      assert.ok((await call()).isOk);
      assert.is(log.state.jobs.list().length, 1);
    });
  });

  describe("submit without room for it", () => {
    const OTHER_PATH = "/q/fedcba9876543210";

    it("is rejected, and nothing is written to the log", async () => {
      const { agreement, call } = await createService(() => false);
      const count = agreement.commands.length;
      const rejected = await call();
      assert.is(rejected.isErr && rejected.error.kind, "overloaded");
      assert.is(agreement.commands.length, count);
    });

    it("is accepted if the job is known", async () => {
      let isRoom = true;
      const { call } = await createService(() => isRoom);
      await call();
      isRoom = false;
      assert.ok((await call()).isOk);
    });

    it("is accepted while a proposal of the job is under way", async () => {
      let isRoom = true;
      const { call, log } = await createService(() => isRoom);
      const first = call();
      isRoom = false;
      assert.ok((await call()).isOk);
      assert.ok((await first).isOk);
      assert.is(log.state.jobs.list().length, 1);
    });

    it("is accepted after a proposal whose outcome is unknown", async () => {
      let isRoom = true;
      const { agreement, call } = await createService(() => isRoom);
      agreement.fault = "lost";
      await call();
      isRoom = false;
      agreement.fault = "none";
      assert.ok((await call()).isOk);
    });

    it("is rejected once that outcome is settled, or known as none", async () => {
      let isRoom = true;
      const { agreement, call } = await createService(() => isRoom);
      agreement.fault = "lost";
      await call();
      agreement.fault = "none";
      await call({ path: OTHER_PATH });
      isRoom = false;
      assert.ok((await call()).isErr);
      isRoom = true;
      agreement.fault = "refused";
      await call();
      isRoom = false;
      agreement.fault = "none";
      assert.ok((await call()).isErr);
    });
  });

  describe("is refused, and logs the reason and the fields of the call", () => {
    const refusals = [
      {
        title: "without a key",
        changes: { key: undefined },
        kind: "unauthenticated",
      },
      {
        title: "with a key that belongs to no team",
        changes: { key: "no" },
        kind: "unauthenticated",
      },
      {
        title: "with a path outside all queues",
        changes: { path: "/x/" },
        kind: "unknownKind",
      },
      {
        title: "with another host",
        changes: { host: "i" },
        kind: "unknownKind",
      },
      {
        title: "with a malformed job id",
        changes: { path: "/q/no" },
        kind: "jobUnknown",
      },
      {
        title: "without work",
        changes: { work: undefined },
        kind: "invalidInput",
      },
      {
        title: "for an unknown job",
        changes: { action: "read" as const },
        kind: "jobUnknown",
      },
    ];
    for (const { title, changes, kind } of refusals) {
      it(title, async () => {
        const { call, logger } = await createService();
        const answered = await call(changes);
        assert.is(answered.isErr && answered.error.kind, kind);
        const line = logger.lines.at(-1);
        assert.is(line?.fields["term"], 1);
        assert.is(line?.fields["leaseAgeMs"], 0);
        assert.is(line?.fields["requestId"], "request-1");
        assert.is(line?.fields["kind"], kind);
        assert.is(line?.fields["catalogVersion"], 1);
        assert.ok(line?.fields["reason"]);
      });
    }

    it("with a key that was removed from the catalog", async () => {
      const { call, put, run } = await createService();
      assert.ok((await call()).isOk);
      await run(put(2, ["other"]));
      const answered = await call({ action: "read" });
      assert.is(answered.isErr && answered.error.kind, "unauthenticated");
    });
  });

  describe("without a host", () => {
    const own = { host: undefined, path: `/${JOB_ID}` };

    it("names its queue, or a job whose queue is used", async () => {
      const { call } = await createService();
      assert.ok((await call({ ...own, queue: "q" })).isOk);
      const read = await call({ ...own, action: "read" });
      assert.equal(read.isOk && read.value, { state: "queued" });
    });

    it("is refused when neither is known", async () => {
      const { call } = await createService();
      const unnamed = await call({ ...own, action: "read" });
      assert.is(unnamed.isErr && unnamed.error.kind, "jobUnknown");
      const unknown = await call({ ...own, queue: "none" });
      assert.is(unknown.isErr && unknown.error.kind, "unknownKind");
    });

    it("differs from an empty host", async () => {
      const { call } = await createService();
      await call();
      const empty = await call({ ...own, host: "", action: "read" });
      assert.is(empty.isErr && empty.error.kind, "unknownKind");
    });
  });

  it("goes to the queue with the longest prefix", async () => {
    const { call, log } = await createService();
    const path = `/q/open/${JOB_ID}`;
    assert.ok((await call({ path, key: undefined })).isOk);
    assert.is(log.state.jobs.find(JOB_ID)?.queue, "open");
  });

  it("counts jobs of which no task has started", async () => {
    const { call } = await createService();
    await call();
    const counted = await call({ action: "read", path: "/q/" });
    assert.is(counted.isOk && counted.value.pendingCount, 1);
  });

  // Guards against MIXED: a job counted as begun although no runner had carried
  // out its start.
  describe("counts a placed job", () => {
    const task = { jobId: JOB_ID, occurrence: 0, step: 0, index: 0 };
    const first = { task, runNumber: 1 };

    async function placeJob() {
      const service = await createService();
      const { call, log, run } = service;
      await call();
      const propose = (...operations: SchedulingOperation[]) =>
        run(log.propose(operations));
      await propose(
        { type: "runner", runner: RUNNER },
        { type: "start", ...first, runnerId: "r", bornAtMs: 1 },
      );
      const count = async () => {
        const counted = await call({ action: "read", path: "/q/" });
        return counted.isOk && counted.value.pendingCount;
      };
      return { ...service, count, propose };
    }

    it("until its runner has confirmed the start", async () => {
      const { call, count, propose } = await placeJob();
      assert.is(await count(), 1);
      const read = await call({ action: "read" });
      assert.equal(read.isOk && read.value, { state: "queued" });
      await propose({ type: "confirm", through: first, open: [] });
      assert.is(await count(), 0);
      const later = await call({ action: "read" });
      assert.equal(later.isOk && later.value, { state: "running" });
    });

    it("also when the start was lost", async () => {
      const { count, propose } = await placeJob();
      const end = { type: "end", ...first, saved: "", maxAttempts: 2 } as const;
      await propose({ ...end, how: "lost" });
      assert.is(await count(), 1);
    });

    it("not when the runner has listed an end of it", async () => {
      const { count, propose } = await placeJob();
      const end = { type: "end", ...first, saved: "", maxAttempts: 2 } as const;
      await propose({ ...end, how: "failed" });
      assert.is(await count(), 0);
    });

    it("the same way from a snapshot", async () => {
      const { log, propose } = await placeJob();
      const restore = () =>
        SchedulingState.restore(log.state.toItems()).jobs.find(JOB_ID);
      assert.is(restore()?.hasBegun, false);
      await propose({ type: "confirm", through: first, open: [] });
      assert.is(restore()?.hasBegun, true);
    });
  });

  // Guards against two answers from different catalogs whose order nobody can
  // tell afterwards.
  it("logs the catalog that a count relies on", async () => {
    const { call, logger } = await createService();
    const counted = await call({ action: "read", path: "/q/", requestId: "r" });
    assert.is(counted.isOk && counted.value.pendingCount, 0);
    const line = logger.lines.at(-1);
    assert.is(line?.message, "answered a call");
    assert.is(line?.fields["requestId"], "r");
    assert.is(line?.fields["catalogVersion"], 1);
  });

  it("starts no task of a cancelled job", async () => {
    const { call, log, run } = await createService();
    await call();
    await call({ action: "cancel" });
    assert.is(log.state.jobs.find(JOB_ID)?.state, "cancelled");
    const task = { jobId: JOB_ID, occurrence: 0, step: 0, index: 0 };
    await run(log.propose([
      { type: "start", task, runNumber: 1, runnerId: "r", bornAtMs: 1 },
    ]));
    assert.is(log.state.jobs.find(JOB_ID)?.hasStarted, false);
  });
});
