import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import * as assert from "uvu/assert";
import { LongestWaitPolicy } from "../../decisions/overload/index.ts";
import type { CloseReason } from "../../ports/index.ts";
import { beforeEach, describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import type { Connection } from "./connection.ts";
import { ConnectionGuard } from "./connection_guard.ts";

const LIMITS = {
  maxConnectionCount: 3,
  maxHeldBytes: 1_000_000,
  maxPipelinedCount: 3,
  maxOpenRequestCount: 32,
  stallMs: 1_000,
};

class FakeSocket extends EventEmitter {
  bytesRead = 0;
  bytesWritten = 0;
  writableLength = 0;
  destroyed = false;
  #isPaused = false;

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    this.emit("resume");
  }

  isPaused(): boolean {
    return this.#isPaused;
  }

  destroy(): void {
    this.destroyed = true;
    this.emit("close");
  }
}

/** A connection, and the responses of the requests that were parsed. */
interface Opened {
  readonly socket: FakeSocket;
  readonly connection: Connection;
  readonly responses: EventEmitter[];
}

const NO_REQUEST = {} as IncomingMessage;
const REQUEST = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";

describe("guard of the connections", () => {
  let clock: FakeClock;
  let guard: ConnectionGuard;
  let logger: FakeLogger;
  let reasons: CloseReason[];
  let heldBytes: number;
  let runningCount: number;

  beforeEach(() => {
    clock = new FakeClock();
    logger = new FakeLogger();
    reasons = [];
    heldBytes = 0;
    runningCount = 0;
    guard = new ConnectionGuard({
      limits: LIMITS,
      policy: new LongestWaitPolicy(),
      clock,
      logger,
      countRunning: () => runningCount,
      metrics: {
        countClosedConnection: (reason) => void reasons.push(reason),
        addHeldBytes: (byteCount) => {
          heldBytes += byteCount;
        },
      },
    });
  });

  /** Opens a connection one millisecond after the one before. */
  async function open(): Promise<Opened> {
    await clock.advance(1);
    const socket = new FakeSocket();
    const responses: EventEmitter[] = [];
    socket.on("data", () => {
      const parsed = guard.find(socket as unknown as Socket);
      assert.ok(parsed);
      responses.push(begin(parsed).response);
    });
    guard.open(socket as unknown as Socket);
    const connection = guard.find(socket as unknown as Socket);
    assert.ok(connection);
    return { socket, connection, responses };
  }

  function begin(connection: Connection, isComplete = true) {
    const request = {
      complete: isComplete,
      headers: {},
      readableLength: 0,
    };
    const response = new EventEmitter();
    const hasRoom = guard.begin(
      connection,
      request as IncomingMessage,
      response as ServerResponse,
    );
    return { request, response, hasRoom };
  }

  describe("closes for the number of connections", () => {
    it("the one that has been idle longest", async () => {
      const first = await open();
      const second = await open();
      begin(first.connection);
      await open();
      const newest = await open();
      assert.ok(second.socket.destroyed);
      assert.not.ok(first.socket.destroyed || newest.socket.destroyed);
      assert.equal(reasons, ["connections"]);
      assert.is(logger.lines[0]?.fields["connectionCount"], 4);
    });

    it("the new one when all others wait for the server", async () => {
      for (let count = 0; count < 3; count += 1) {
        begin((await open()).connection);
      }
      await clock.advance(1);
      const socket = new FakeSocket();
      guard.open(socket as unknown as Socket);
      assert.ok(socket.destroyed);
    });
  });

  describe("closes for the bytes of bodies", () => {
    it("the one whose body has made no progress longest", async () => {
      const one = await open();
      const other = await open();
      begin(one.connection, false);
      begin(other.connection, false);
      const oneAccount = guard.createAccount(one.connection, NO_REQUEST);
      const otherAccount = guard.createAccount(other.connection, NO_REQUEST);
      assert.ok(otherAccount.resize(400_000));
      await clock.advance(5);
      assert.ok(oneAccount.resize(400_000));
      assert.ok(oneAccount.resize(900_000));
      assert.ok(other.socket.destroyed);
      assert.is(heldBytes, 900_000);
      assert.not.ok(otherAccount.resize(400_001));
    });

    it("none whose request is whole, and refuses instead", async () => {
      const whole = await open();
      const late = await open();
      begin(whole.connection);
      begin(late.connection);
      const wholeAccount = guard.createAccount(whole.connection, NO_REQUEST);
      assert.ok(wholeAccount.resize(900_000));
      const account = guard.createAccount(late.connection, NO_REQUEST);
      assert.not.ok(account.resize(200_000));
      assert.equal(reasons, []);
      wholeAccount.resize(0);
      assert.ok(account.resize(200_000));
    });

    it("and forgets what a closed one held", async () => {
      const { connection, socket } = await open();
      const account = guard.createAccount(connection, NO_REQUEST);
      account.resize(900_000);
      socket.destroy();
      assert.is(heldBytes, 0);
      account.resize(0);
      assert.is(heldBytes, 0);
    });
  });

  describe("lets pipelined requests wait", () => {
    it("above the limit of a connection", async () => {
      const { socket, responses } = await open();
      socket.emit("data", Buffer.from(REQUEST.repeat(10)));
      assert.is(responses.length, LIMITS.maxPipelinedCount);
      assert.ok(socket.isPaused());
      responses[0]?.emit("close");
      assert.is(responses.length, LIMITS.maxPipelinedCount, "in this turn");
      await nextTurn();
      assert.is(responses.length, LIMITS.maxPipelinedCount + 1);
      for (let at = 1; at < 10; at += 1) {
        responses[at]?.emit("close");
        await nextTurn();
      }
      assert.is(responses.length, 10);
      assert.not.ok(socket.isPaused() || socket.destroyed);
    });

    it("while their share of all is taken, but no single ones", async () => {
      const first = await open();
      const second = await open();
      const third = await open();
      first.socket.emit("data", Buffer.from(REQUEST.repeat(3)));
      second.socket.emit("data", Buffer.from(REQUEST.repeat(3)));
      third.socket.emit("data", Buffer.from(REQUEST));
      assert.is(first.responses.length, 3);
      assert.is(second.responses.length, 1);
      assert.is(third.responses.length, 1);
      first.responses.forEach((response) => response.emit("close"));
      await nextTurn();
      assert.is(second.responses.length, 3);
    });
  });

  it("refuses a request when too many run", async () => {
    const { connection, socket } = await open();
    runningCount = LIMITS.maxOpenRequestCount + 1;
    assert.not.ok(begin(connection).hasRoom);
    assert.not.ok(socket.destroyed);
  });

  describe("closes those that stall", () => {
    async function checkStalled(isStalled: boolean, socket: FakeSocket) {
      const stop = new AbortController();
      const running = guard.run(stop.signal);
      await clock.advance(2 * LIMITS.stallMs);
      assert.is(socket.destroyed, isStalled);
      stop.abort();
      await running;
    }

    it("with an unfinished body", async () => {
      const { connection, socket } = await open();
      begin(connection, false);
      await checkStalled(true, socket);
      assert.equal(reasons, ["stalled"]);
    });

    it("with unread answers", async () => {
      const { connection, socket } = await open();
      begin(connection);
      socket.writableLength = 10;
      socket.bytesWritten = 10;
      await checkStalled(true, socket);
    });

    it("but none that waits for the server", async () => {
      const { connection, socket } = await open();
      begin(connection);
      await checkStalled(false, socket);
    });

    it("but none whose bytes the server has not read", async () => {
      const { connection, socket } = await open();
      begin(connection, false).request.readableLength = 1;
      await checkStalled(false, socket);
    });
  });
});
