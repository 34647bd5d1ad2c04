import { getEventListeners } from "node:events";
import * as assert from "uvu/assert";
import { SystemClock } from "../adapters/clock/index.ts";
import { describe, it } from "../testing/describe.ts";
import { Notifier } from "./notifier.ts";
import { onAbort } from "./on_abort.ts";
import { waitFor } from "./wait_for.ts";

const LONG_MS = 60_000;

describe("callbacks for an abort signal", () => {
  it("are called when it aborts, unless they were removed", () => {
    const stop = new AbortController();
    const called: string[] = [];
    onAbort(stop.signal, () => called.push("first"));
    const remove = onAbort(stop.signal, () => called.push("removed"));
    onAbort(stop.signal, () => called.push("second"));
    remove();
    stop.abort();
    assert.equal(called, ["first", "second"]);
  });

  // Guards against a leader that is busy with listeners: each runner's task
  // waits some hundred times a second.
  it("share one listener, as do all waits that end with it", async () => {
    const stop = new AbortController();
    const { signal } = stop;
    const clock = new SystemClock();
    const notifier = new Notifier();
    const waits = [
      clock.sleep(LONG_MS, signal),
      clock.sleep(LONG_MS, signal),
      notifier.wait(signal),
      waitFor({
        clock,
        notifier,
        timeoutMs: LONG_MS,
        signal,
        isMet: () => false,
      }),
    ];
    assert.is(getEventListeners(signal, "abort").length, 1);
    stop.abort();
    await Promise.all(waits);
  });
});
