import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { FakeSocket } from "../../testing/fake_socket.ts";
import { ConnectionInput } from "./connection_input.ts";

/** As much as one read of a socket delivers. */
const READ_BYTES = 64 * 1_024;
/** Most of a chunked body that may be parsed in one turn of the event loop. */
const MAX_TURN_BYTES = 1_024;

function setUp(headers: Readonly<Record<string, string>>) {
  const socket = new FakeSocket();
  const requests: Partial<IncomingMessage>[] = [];
  let parsedBytes = 0;
  let waitingBytes = 0;
  socket.on("data", (part: Buffer) => {
    parsedBytes += part.length;
    if (requests.length === 0) {
      requests.push({ complete: false, headers });
    }
  });
  new ConnectionInput({
    socket: socket as unknown as Socket,
    mayParse: () => true,
    findLastRequest: () => requests.at(-1) as IncomingMessage | undefined,
    onWaiting: (byteCount) => {
      waitingBytes = byteCount;
    },
  });
  socket.emit("data", Buffer.from("POST / HTTP/1.1\r\nhost: x\r\n\r\n"));
  const headBytes = parsedBytes;
  return {
    socket,
    countParsed: () => parsedBytes - headBytes,
    countWaiting: () => waitingBytes,
  };
}

describe("input of a connection", () => {
  describe("in a chunked body", () => {
    // Guards against clients with a chunk for each byte that keep all others
    // waiting for as long as the parser takes for whole reads of all of them.
    it("lets other connections go on after each part", async () => {
      const { countParsed, countWaiting, socket } = setUp({});
      socket.emit("data", Buffer.alloc(READ_BYTES));
      for (let turn = 1; turn <= READ_BYTES / MAX_TURN_BYTES; turn += 1) {
        assert.ok(countParsed() <= turn * MAX_TURN_BYTES);
        assert.is(countParsed() + countWaiting(), READ_BYTES);
        await nextTurn();
      }
      assert.is(countParsed(), READ_BYTES);
      assert.is(socket.isPaused(), false);
    });
  });

  it("parses a body of known length as it comes", () => {
    const { countParsed, socket } = setUp({
      "content-length": String(2 * READ_BYTES),
    });
    socket.emit("data", Buffer.alloc(READ_BYTES));
    assert.is(countParsed(), READ_BYTES);
  });
});
