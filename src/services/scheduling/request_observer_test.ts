import { Result } from "true-myth";
import * as assert from "uvu/assert";
import type { RunnerAnswer, RunnerFailure } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import {
  FakeLeaderMetrics,
  FakeLogger,
  FakeProcessUsage,
} from "../../testing/fake_ports.ts";
import { PausableClock } from "../../testing/pausable_clock.ts";
import { EventLoopWatch } from "./event_loop_watch.ts";
import { LeaseTracker } from "./lease_tracker.ts";
import { RequestObserver } from "./request_observer.ts";
import { RunnerStatus } from "./runner_status.ts";
import { EVENT_LOOP_CHECK_MS, RUN_LEASE_MS } from "./timing.ts";

const ANSWERED_MS = 500;
const SENT_MS = 1_000;
const FAILED_MS = 2_100;

async function setUp() {
  const time = new FakeClock();
  const clock = new PausableClock(time);
  const metrics = new FakeLeaderMetrics();
  const logger = new FakeLogger();
  const eventLoop = new EventLoopWatch({
    clock,
    logger,
    metrics,
    usage: new FakeProcessUsage(),
    role: "controller",
    isLeading: () => true,
  });
  const stop = new AbortController();
  const running = eventLoop.run(stop.signal);
  const status = new RunnerStatus(clock);
  const lease = new LeaseTracker(clock);
  const observer = new RequestObserver({
    clock,
    metrics,
    eventLoop,
    status,
    lease,
  });
  await time.advance(ANSWERED_MS);
  status.recordAnswer();
  await time.advance(SENT_MS - ANSWERED_MS);
  status.recordContact();
  const end = async () => {
    stop.abort();
    await time.runUntil(running, SENT_MS);
  };
  return { time, clock, metrics, lease, observer, end };
}

describe("request observer", () => {
  describe("evidence of a failed request", () => {
    it("shows a silent runner by a loop that was on time", async () => {
      const { time, lease, observer, end } = await setUp();
      await time.advance(FAILED_MS - SENT_MS);
      assert.equal(observer.describeRequest(SENT_MS), {
        sinceSentMs: FAILED_MS - SENT_MS,
        sinceAnswerMs: FAILED_MS - ANSWERED_MS,
        silenceMs: FAILED_MS - SENT_MS,
        loopLateMs: 0,
        leaseLeftMs: Math.round(lease.endMs - FAILED_MS),
      });
      await end();
    });

    // Guards against a runner that seems silent while the leader was late.
    it("shows a late leader by the delay of its loop", async () => {
      const { time, clock, observer, end } = await setUp();
      clock.pause();
      await time.advance(FAILED_MS - SENT_MS);
      const lateMs = FAILED_MS - SENT_MS - EVENT_LOOP_CHECK_MS;
      assert.is(observer.describeRequest(SENT_MS).loopLateMs, lateMs);
      assert.is(observer.recordRemoval("leasesExpired").loopLateMs, lateMs);
      clock.resume();
      await end();
    });

    it("shows by how much the leases have expired", async () => {
      const { time, lease, observer, end } = await setUp();
      await time.advance(2 * RUN_LEASE_MS);
      const leftMs = Math.round(lease.endMs - SENT_MS - 2 * RUN_LEASE_MS);
      assert.ok(leftMs < 0);
      const { leaseLeftMs, reason } = observer.recordRemoval("leasesExpired");
      assert.is(leaseLeftMs, leftMs);
      assert.is(reason, "its leases have ended");
      await end();
    });
  });

  it("counts requests by kind and outcome", async () => {
    const { metrics, observer, end } = await setUp();
    const answered: Result<RunnerAnswer, RunnerFailure> = Result.ok({
      clockMs: 0,
    });
    const fail = (failure: RunnerFailure) =>
      Result.err<RunnerAnswer, RunnerFailure>(failure);
    observer.count("poll", answered);
    observer.count("start", fail({ refusal: "noRoom", message: "" }));
    observer.count("stop", fail({ message: "" }));
    assert.equal([...metrics.requestCounts], [
      ["poll answered", 1],
      ["start refused", 1],
      ["stop unanswered", 1],
    ]);
    await end();
  });
});
