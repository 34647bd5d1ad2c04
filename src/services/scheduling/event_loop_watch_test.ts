import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import {
  FakeLeaderMetrics,
  FakeLogger,
  FakeProcessUsage,
} from "../../testing/fake_ports.ts";
import { PausableClock } from "../../testing/pausable_clock.ts";
import { EventLoopWatch } from "./event_loop_watch.ts";
import { EVENT_LOOP_CHECK_MS, LATE_EVENT_LOOP_MS } from "./timing.ts";

const PAUSE_MS = 1_000;
const STEP_MS = 2_000;
/** Delay of a check that was due when the pause began. */
const LATE_MS = PAUSE_MS - EVENT_LOOP_CHECK_MS;

function setUp() {
  const time = new FakeClock();
  const clock = new PausableClock(time);
  const logger = new FakeLogger();
  const metrics = new FakeLeaderMetrics();
  const usage = new FakeProcessUsage();
  const watch = new EventLoopWatch({
    clock,
    logger,
    metrics,
    usage,
    role: "controller",
    isLeading: () => true,
  });
  const stop = new AbortController();
  const running = watch.run(stop.signal);
  const pause = async (durationMs: number) => {
    clock.pause();
    await time.advance(durationMs);
    clock.resume();
    await time.advance(0);
  };
  const end = async () => {
    stop.abort();
    await time.runUntil(running, PAUSE_MS);
  };
  return { time, clock, logger, metrics, usage, watch, pause, end };
}

describe("event loop watch", () => {
  it("logs nothing while timers fire on time", async () => {
    const { time, logger, metrics, watch, end } = setUp();
    await time.advance(10 * EVENT_LOOP_CHECK_MS);
    assert.equal(metrics.loopDelaysMs, new Array(10).fill(0));
    assert.equal(logger.lines, []);
    assert.is(watch.findLongestDelayMs(0), 0);
    await end();
  });

  describe("after the wall clock was set ahead", () => {
    // Guards against promises that end early without a line that says why.
    it("logs by how much", async () => {
      const { time, clock, logger, end } = setUp();
      clock.setAhead(STEP_MS);
      await time.advance(EVENT_LOOP_CHECK_MS);
      const [line] = logger.lines;
      assert.is(line?.message, "the wall clock went ahead of the steady clock");
      assert.is(line?.fields["aheadMs"], STEP_MS);
      await end();
    });
  });

  describe("after the timers fired late", () => {
    // Guards against a leader short of processor time that no log line shows.
    it("logs the delay and the share of the processor", async () => {
      const { logger, metrics, usage, pause, end } = setUp();
      usage.reading = { cpuMs: PAUSE_MS / 2, loopActiveMs: PAUSE_MS };
      await pause(PAUSE_MS);
      assert.equal(metrics.loopDelaysMs, [LATE_MS]);
      assert.equal(logger.lines, [{
        level: "warn",
        fields: {
          lateMs: LATE_MS,
          longestLateMs: LATE_MS,
          cpuPercent: 50,
          loopActivePercent: 100,
          role: "controller",
          isLeading: true,
        },
        message: "the event loop was late",
      }]);
      await end();
    });

    it("logs at most one line a second, with the longest delay", async () => {
      const { time, logger, pause, end } = setUp();
      const shortMs = EVENT_LOOP_CHECK_MS + LATE_EVENT_LOOP_MS;
      await pause(shortMs);
      await pause(shortMs + 1);
      await pause(shortMs);
      assert.is(logger.lines.length, 1);
      await time.advance(PAUSE_MS);
      assert.equal(
        logger.lines.map(({ fields }) => fields["longestLateMs"]),
        [LATE_EVENT_LOOP_MS, LATE_EVENT_LOOP_MS + 1],
      );
      await end();
    });

    it("counts only the part of a delay within the asked time", async () => {
      const { time, watch, pause, end } = setUp();
      await pause(PAUSE_MS);
      await time.advance(PAUSE_MS);
      assert.is(watch.findLongestDelayMs(0), LATE_MS);
      assert.is(watch.findLongestDelayMs(PAUSE_MS - 10), 10);
      assert.is(watch.findLongestDelayMs(PAUSE_MS), 0);
      await end();
    });

    // Guards against a request whose timeout fires before the late check and
    // that then looks like the silence of a runner.
    it("counts a check that is overdue", async () => {
      const { time, clock, watch, end } = setUp();
      clock.pause();
      await time.advance(PAUSE_MS);
      assert.is(watch.findLongestDelayMs(0), LATE_MS);
      assert.is(watch.findLongestDelayMs(PAUSE_MS - 10), 10);
      clock.resume();
      await end();
    });
  });
});
