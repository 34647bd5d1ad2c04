import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { BodyChunks, NoRoomError } from "./body_chunks.ts";

function setUp(maxBytes = Infinity, keptBytes = 0) {
  const stream = new PassThrough();
  const account = {
    isClosed: false,
    heldBytes: 0,
    isAhead: false,
    resize: (byteCount: number) => {
      const isHeld = byteCount <= maxBytes;
      account.heldBytes = isHeld ? byteCount : account.heldBytes;
      return isHeld;
    },
    setAhead: (isAhead: boolean) => {
      account.isAhead = isAhead;
    },
    close: () => undefined,
  };
  const request = stream as unknown as IncomingMessage;
  return { account, stream, body: new BodyChunks(request, account, keptBytes) };
}

async function readAll(body: BodyChunks): Promise<string> {
  let text = "";
  for await (const chunk of body) {
    text += Buffer.from(chunk).toString();
  }
  return text;
}

async function catchError(action: Promise<unknown>): Promise<unknown> {
  try {
    await action;
  } catch (error) {
    return error;
  }
  return undefined;
}

describe("body of a request", () => {
  it("is whole, however small its chunks are", async () => {
    const { body, stream } = setUp();
    const read = readAll(body);
    [..."one byte each"].forEach((byte) => stream.write(byte));
    stream.end();
    assert.is(await read, "one byte each");
  });

  it("lets the client wait while its reader is behind", async () => {
    const { account, body, stream } = setUp(Infinity, 10);
    const first = body.next();
    stream.write("x");
    await first;
    stream.write(Buffer.alloc(70_000));
    await new Promise(setImmediate);
    assert.ok(account.isAhead);
    assert.is(account.heldBytes, 70_010);
    await body.next();
    assert.not.ok(account.isAhead);
  });

  describe("fails", () => {
    it("when there is no room, also if its end has come", async () => {
      const { body, stream } = setUp(5);
      const read = catchError(readAll(body));
      stream.write("12345");
      stream.write("678");
      stream.end("9");
      assert.instance(await read, NoRoomError);
    });

    it("when the connection closes before its end", async () => {
      const { body, stream } = setUp();
      const read = catchError(readAll(body));
      stream.write("1");
      stream.destroy();
      assert.match(String(await read), /before the end/);
    });
  });
});
