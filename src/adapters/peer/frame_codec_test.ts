import * as assert from "uvu/assert";
import { Encoder } from "cbor-x";
import { shareValue } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { encodeFrame } from "./frame_codec.ts";

const LENGTH_BYTES = 4;
const FOLLOWER_COUNT = 8;

// Decodes as every peer does, those of an older build included.
const peer = new Encoder({ useRecords: false, mapsAsObjects: true });

function decodeFrame(message: unknown): unknown {
  const frame = encodeFrame(message);
  const payload = frame.subarray(LENGTH_BYTES);
  assert.is(frame.readUInt32BE(0), payload.length);
  return peer.decode(payload);
}

/** Creates a log entry that counts how often its command is read. */
function createEntry(index: number) {
  const entry = {
    index,
    term: 3,
    readCount: 0,
    get command() {
      this.readCount += 1;
      return { type: "leader", leaderId: "a" };
    },
  };
  Object.defineProperty(entry, "readCount", { enumerable: false });
  return entry;
}

function createAnswer(callId: number, entries: readonly unknown[]) {
  const value = {
    type: "entries",
    term: 3,
    stampMs: 12.5,
    commitIndex: undefined,
    entries,
  };
  return { type: "answer", callId, value };
}

describe("encodeFrame", () => {
  it("keeps messages without shared values as they are", () => {
    const message = createAnswer(1, [{ index: 1 }, { index: 2 }]);
    assert.equal(decodeFrame(message), message);
  });

  it("keeps messages with shared values as they are", () => {
    const shared = { index: 1, command: { operations: [{ type: "start" }] } };
    shareValue(shared);
    for (const entries of [[shared], [{ index: 2 }, shared, "other"]]) {
      const message = createAnswer(70_000, entries);
      assert.equal(decodeFrame(message), message);
      assert.equal(decodeFrame(message), message);
    }
  });

  it("keeps a message with more shared values than a short header counts", () => {
    const entries = Array.from({ length: 500 }, (_, index) => ({ index }));
    entries.forEach(shareValue);
    const message = createAnswer(1, entries);
    assert.equal(decodeFrame(message), message);
  });

  // Guards against a leader that encodes each log entry once for each follower.
  it("encodes a shared value once for all peers", () => {
    const entry = createEntry(7);
    shareValue(entry);
    for (let callId = 0; callId < FOLLOWER_COUNT; callId += 1) {
      encodeFrame(createAnswer(callId, [entry]));
    }
    assert.is(entry.readCount, 1);
  });
});
