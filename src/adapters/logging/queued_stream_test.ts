import { Buffer } from "node:buffer";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { QueuedStream } from "./queued_stream.ts";

type Callback = (
  error: { readonly code?: string | undefined } | null,
  writtenBytes: number,
) => void;

/** A pipe whose reader reads only when the test calls `read`. */
class SlowPipe {
  text = "";
  writeCount = 0;
  #waiting: { bytes: Uint8Array; callback: Callback } | undefined;

  readonly write = (_fd: number, bytes: Uint8Array, callback: Callback) => {
    this.writeCount += 1;
    this.#waiting = { bytes, callback };
  };

  /** Completes the pending write, in full or in part, or fails it. */
  read(maxBytes = Infinity, errorCode?: string): void {
    const waiting = this.#waiting;
    this.#waiting = undefined;
    if (errorCode !== undefined) {
      waiting?.callback({ code: errorCode }, 0);
      return;
    }
    const taken = waiting?.bytes.subarray(0, maxBytes) ?? new Uint8Array();
    this.text += Buffer.from(taken).toString();
    waiting?.callback(null, taken.length);
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe("queued stream", () => {
  function setUp(maxQueuedBytes = 100) {
    const pipe = new SlowPipe();
    const clock = new FakeClock();
    const stream = new QueuedStream({
      clock,
      fileDescriptor: 1,
      maxQueuedBytes,
      write: pipe.write,
    });
    return { pipe, clock, stream };
  }

  it("writes the lines of one event loop turn together, in order", async () => {
    const { pipe, stream } = setUp();
    stream.write("one\n");
    stream.write("two\n");
    await settle();
    pipe.read();
    await settle();
    assert.is(pipe.text, "one\ntwo\n");
    assert.is(pipe.writeCount, 1);
  });

  // Guards against unbounded memory when the log reader hangs and the process
  // keeps logging.
  it("drops and counts lines above its limit when the reader hangs", async () => {
    const { pipe, stream } = setUp(100);
    for (let at = 0; at < 30; at += 1) {
      stream.write("0123456789\n");
    }
    await settle();
    assert.is(stream.droppedCount, 21);
    pipe.read();
    await settle();
    assert.is(pipe.text.length, 99);
    stream.write("again\n");
    await settle();
    pipe.read();
    assert.ok(pipe.text.endsWith("again\n"));
  });

  it("continues after a partial write and after a full pipe", async () => {
    const { pipe, clock, stream } = setUp();
    stream.write("0123456789\n");
    await settle();
    pipe.read(4);
    await settle();
    pipe.read(0, "EAGAIN");
    await settle();
    await clock.advance(100);
    await settle();
    pipe.read();
    await settle();
    assert.is(pipe.text, "0123456789\n");
    assert.is(stream.droppedCount, 0);
  });

  it("stops waiting for a flush when the reader hangs", async () => {
    const { clock, stream } = setUp();
    stream.write("one\n");
    let isFlushed = false;
    void stream.flush(300).then(() => {
      isFlushed = true;
    });
    await settle();
    assert.not(isFlushed);
    await clock.advance(300);
    assert.ok(isFlushed);
  });
});
