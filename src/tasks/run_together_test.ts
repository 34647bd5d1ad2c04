import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import { FakeClock } from "../testing/fake_clock.ts";
import { runTogether } from "./run_together.ts";

describe("tasks that run together", () => {
  // Guards against halves of a task that run on beside the restarted task.
  it("all end when one of them throws, and the error is thrown", async () => {
    const clock = new FakeClock();
    let hasEnded = false;
    const running = runTogether([
      () => Promise.reject(new Error("odd entry")),
      async (signal) => {
        await clock.sleep(60_000, signal);
        hasEnded = signal.aborted;
      },
    ], new AbortController().signal);
    let message = "";
    await running.catch((error: Error) => message = error.message);
    assert.is(message, "odd entry");
    assert.ok(hasEnded, "the other task ended first");
  });

  it("all end on the signal", async () => {
    const clock = new FakeClock();
    const stop = new AbortController();
    const running = runTogether([
      (signal) => clock.sleep(60_000, signal),
      (signal) => clock.sleep(60_000, signal),
    ], stop.signal);
    stop.abort();
    await running;
  });

  it("end one after the other when none throws", async () => {
    const clock = new FakeClock();
    let isAborted = false;
    const running = runTogether([
      () => Promise.resolve(),
      async (signal) => {
        await clock.sleep(10, signal);
        isAborted = signal.aborted;
      },
    ], new AbortController().signal);
    await clock.advance(20);
    await running;
    assert.not(isAborted);
  });
});
