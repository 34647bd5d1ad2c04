import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import * as v from "valibot";
import * as assert from "uvu/assert";
import {
  afterEach,
  beforeEach,
  describe,
  FakeClock,
  FakeLogger,
  FakeMetrics,
  findFreePort,
  it,
} from "../../testing/index.ts";
import { PausableClock } from "../../testing/pausable_clock.ts";
import { encodeFrame, FrameReader } from "./frame_codec.ts";
import { acceptHandshake } from "./handshake.ts";
import { MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES } from "./limits.ts";
import { type CallMessage, callSchema } from "./messages.ts";
import { PeerLink } from "./peer_link.ts";

const SECRET = "the-secret-of-the-deployment";
const HOST = "127.0.0.1";
const TIMEOUT_MS = 1_000;
const SHORT_TIMEOUT_MS = 250;

/** A call as the peer has received it. */
interface ReceivedCall extends CallMessage {
  readonly socket: Socket;
}

/** A peer whose answers the test sends. */
class ScriptedPeer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #received: ReceivedCall[] = [];
  #notify: () => void = () => undefined;

  constructor() {
    this.#server = createServer((socket) => void this.#serve(socket));
  }

  async start(): Promise<number> {
    const port = await findFreePort();
    this.#server.listen(port, HOST);
    await once(this.#server, "listening");
    return port;
  }

  stop(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  /** Waits for the next call. */
  async receive(): Promise<ReceivedCall> {
    for (;;) {
      const call = this.#received.shift();
      if (call !== undefined) {
        return call;
      }
      await new Promise<void>((resolve) => {
        this.#notify = resolve;
      });
    }
  }

  async #serve(socket: Socket): Promise<void> {
    this.#sockets.add(socket);
    socket.on("error", () => undefined);
    const reader = new FrameReader(socket, MAX_HANDSHAKE_FRAME_BYTES);
    await acceptHandshake({ entryId: "peer", secret: SECRET, socket, reader });
    reader.maxFrameBytes = MAX_FRAME_BYTES;
    for (;;) {
      const message = await reader.read().catch(() => undefined);
      if (message === undefined) {
        return;
      }
      this.#received.push({ ...v.parse(callSchema, message), socket });
      this.#notify();
    }
  }
}

/** Sends an answer, to a call that the receiver may no longer know. */
function answer({ callId, socket }: ReceivedCall, value: string): void {
  socket.write(encodeFrame({ type: "answer", callId, value }));
}

describe("a link to a peer", () => {
  let clock: FakeClock;
  let processClock: PausableClock;
  let peer: ScriptedPeer;
  let link: PeerLink;
  let stop: AbortController;

  beforeEach(async () => {
    clock = new FakeClock();
    processClock = new PausableClock(clock);
    peer = new ScriptedPeer();
    stop = new AbortController();
    link = new PeerLink({
      entryId: "entry",
      secret: SECRET,
      peer: { entryId: "peer", host: HOST, port: await peer.start() },
      clock: processClock,
      logger: new FakeLogger(),
      metrics: new FakeMetrics(),
    });
    void link.run(stop.signal);
  });

  afterEach(() => {
    stop.abort();
    peer.stop();
  });

  async function call(
    body: string,
    timeoutMs = TIMEOUT_MS,
  ): Promise<unknown> {
    const answered = await link.call("echo", body, { timeoutMs });
    return answered.isOk ? answered.value : answered.error.kind;
  }

  // Guards against a call that returns what another one was told, for instance
  // the state of another wave.
  describe("gives each call its own answer", () => {
    it("when answers overtake each other", async () => {
      const calls = [call("a"), call("b"), call("c")];
      const received = [];
      for (const _ of calls) {
        received.push(await peer.receive());
      }
      for (const each of received.toReversed()) {
        answer(each, `to ${each.body}`);
      }
      assert.equal(await Promise.all(calls), ["to a", "to b", "to c"]);
    });

    it("when the answer before it is repeated", async () => {
      const first = call("a");
      const firstReceived = await peer.receive();
      answer(firstReceived, "to a");
      answer(firstReceived, "to a, again");
      assert.is(await first, "to a");
      const second = call("b");
      const secondReceived = await peer.receive();
      answer(firstReceived, "to a, late");
      answer(secondReceived, "to b");
      assert.is(await second, "to b");
    });

    it("when the answer before it comes after the timeout", async () => {
      const first = call("a");
      const firstReceived = await peer.receive();
      await clock.advance(1);
      const other = call("other");
      answer(await peer.receive(), "to other");
      assert.is(await other, "to other");
      await clock.advance(TIMEOUT_MS - 1);
      assert.is(await first, "peerUnreachable");
      const second = call("b");
      const secondReceived = await peer.receive();
      assert.is(secondReceived.socket, firstReceived.socket);
      answer(firstReceived, "to a, late");
      answer(secondReceived, "to b");
      assert.is(await second, "to b");
    });

    it("when the connection breaks in between", async () => {
      const first = call("a");
      const firstReceived = await peer.receive();
      firstReceived.socket.destroy();
      assert.is(await first, "peerUnreachable");
      const second = call("b");
      const reconnected = clock.advance(TIMEOUT_MS / 2);
      const secondReceived = await peer.receive();
      await reconnected;
      assert.is.not(secondReceived.socket, firstReceived.socket);
      answer({ ...firstReceived, socket: secondReceived.socket }, "to a, late");
      answer(secondReceived, "to b");
      assert.is(await second, "to b");
    });
  });

  describe("to one that answers late", () => {
    // Guards against calls that fail because another one, with less time, does:
    // each follower of a busy new leader lost it, and so the leader its quorum.
    it("lets calls with more time wait for their answers", async () => {
      const patient = call("a");
      const patientReceived = await peer.receive();
      const hasty = call("b", SHORT_TIMEOUT_MS);
      await peer.receive();
      await clock.advance(SHORT_TIMEOUT_MS);
      assert.is(await hasty, "peerUnreachable");
      answer(patientReceived, "to a");
      assert.is(await patient, "to a");
    });

    // Guards against a wall clock that is set ahead and looks like silence.
    it("lets them wait also when its own wall clock is set ahead", async () => {
      const patient = call("a");
      const patientReceived = await peer.receive();
      const hasty = call("b", SHORT_TIMEOUT_MS);
      await peer.receive();
      processClock.setAhead(2 * TIMEOUT_MS);
      await clock.advance(SHORT_TIMEOUT_MS);
      assert.is(await hasty, "peerUnreachable");
      answer(patientReceived, "to a");
      assert.is(await patient, "to a");
    });
  });

  // Guards against a connection that stays dead after a partition has healed.
  it("connects anew to a peer that has been silent for long", async () => {
    const first = call("a", SHORT_TIMEOUT_MS);
    const { socket } = await peer.receive();
    await clock.advance(TIMEOUT_MS);
    assert.is(await first, "peerUnreachable");
    const second = call("b", SHORT_TIMEOUT_MS);
    assert.is((await peer.receive()).socket, socket);
    await clock.advance(SHORT_TIMEOUT_MS);
    assert.is(await second, "peerUnreachable");
    const third = call("c");
    const reconnected = clock.advance(TIMEOUT_MS / 2);
    const received = await peer.receive();
    await reconnected;
    assert.is.not(received.socket, socket);
    answer(received, "to c");
    assert.is(await third, "to c");
  });
});
