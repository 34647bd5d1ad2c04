import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { Result } from "true-myth";
import * as assert from "uvu/assert";
import { TaskGroup } from "../../tasks/index.ts";
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
import { SystemClock } from "../clock/index.ts";
import { encodeFrame, FrameReader } from "./frame_codec.ts";
import { connectHandshake } from "./handshake.ts";
import {
  HANDSHAKE_TIMEOUT_MS,
  MAX_FRAME_BYTES,
  MAX_HANDSHAKE_FRAME_BYTES,
  MAX_UNAUTHENTICATED_CONNECTIONS,
} from "./limits.ts";
import { TcpPeerNetwork } from "./tcp_peer_network.ts";

const SECRET = "the-secret-of-the-deployment";
const HOST = "127.0.0.1";
const CALL_TIMEOUT_MS = 2_000;
const NONCE = "0".repeat(64);

describe("tcp peer network", () => {
  let clock: FakeClock;
  let tasks: TaskGroup;
  let port: number;
  let server: TcpPeerNetwork;
  let client: TcpPeerNetwork;
  let callerIds: string[];

  function createNetwork(
    entryId: string,
    ownPort: number,
    peerId: string,
    peerPort: number,
  ): TcpPeerNetwork {
    return new TcpPeerNetwork({
      entryId,
      secret: SECRET,
      host: HOST,
      port: ownPort,
      peers: [{ entryId: peerId, host: HOST, port: peerPort }],
      clock: entryId === "server" ? clock : new SystemClock(),
      logger: new FakeLogger(),
      metrics: new FakeMetrics(),
      tasks,
    });
  }

  beforeEach(async () => {
    clock = new FakeClock();
    tasks = new TaskGroup({ clock, logger: new FakeLogger() });
    port = await findFreePort();
    const clientPort = await findFreePort();
    callerIds = [];
    server = createNetwork("server", port, "client", clientPort);
    client = createNetwork("client", clientPort, "server", port);
    server.handle("echo", (peerId, body) => {
      callerIds.push(peerId);
      return Promise.resolve(Result.ok({ peerId, body }));
    });
    await server.start();
    await client.start();
  });

  afterEach(async () => {
    const stopped = tasks.stop();
    await clock.advance(HANDSHAKE_TIMEOUT_MS);
    await stopped;
  });

  async function open(): Promise<Socket> {
    const socket = connect({ host: HOST, port, noDelay: true });
    socket.on("error", () => undefined);
    await once(socket, "connect");
    return socket;
  }

  async function authenticate(socket: Socket): Promise<void> {
    const reader = new FrameReader(socket, MAX_HANDSHAKE_FRAME_BYTES);
    const own = { entryId: "stranger", secret: SECRET, socket, reader };
    await connectHandshake(own, "server");
  }

  async function expectCallWorks(): Promise<void> {
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    const answered = await client.call("server", "echo", { n: 1 }, options);
    assert.ok(answered.isOk, JSON.stringify(answered));
    assert.equal(answered.value, { peerId: "client", body: { n: 1 } });
  }

  async function expectClosed(socket: Socket): Promise<void> {
    socket.resume();
    if (!socket.closed) {
      await once(socket, "close");
    }
    const strangers = callerIds.filter((peerId) => peerId !== "client");
    assert.equal(
      strangers,
      [],
      "a call on a connection that must be closed was handled",
    );
    await expectCallWorks();
  }

  it("delivers a call and its answer", async () => {
    await expectCallWorks();
  });

  it("reports an unknown peer as unreachable", async () => {
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    const answered = await client.call("nobody", "echo", {}, options);
    assert.ok(answered.isErr && answered.error.kind === "peerUnreachable");
  });

  describe("an unauthenticated connection", () => {
    const call = { type: "call", callId: 1, method: "echo", body: {} };
    const hello = { type: "hello", entryId: "x", wantedId: "server" };
    const oversize = Buffer.alloc(4);
    oversize.writeUInt32BE(MAX_HANDSHAKE_FRAME_BYTES + 1, 0);
    const attacks = [
      { title: "sends a call without a handshake", bytes: encodeFrame(call) },
      { title: "sends invalid CBOR", bytes: Buffer.alloc(600, 0xff) },
      { title: "sends text", bytes: Buffer.from("GET / HTTP/1.1\r\n\r\n") },
      { title: "announces a frame over the size limit", bytes: oversize },
      {
        title: "asks for another entry",
        bytes: encodeFrame({ ...hello, wantedId: "other", nonce: NONCE }),
      },
      {
        title: "sends a short nonce",
        bytes: encodeFrame({ ...hello, nonce: "00" }),
      },
      {
        title: "does not know the secret",
        bytes: Buffer.concat([
          encodeFrame({ ...hello, nonce: NONCE }),
          encodeFrame({ type: "proof", mac: NONCE }),
          encodeFrame(call),
        ]),
      },
    ];
    for (const { title, bytes } of attacks) {
      it(`is closed when it ${title}, without affecting others`, async () => {
        const socket = await open();
        socket.write(bytes);
        await expectClosed(socket);
      });
    }

    const partialMessages = [
      { title: "nothing", bytes: Buffer.alloc(0) },
      { title: "half of a frame length", bytes: Buffer.alloc(2) },
      { title: "half a frame", bytes: encodeFrame(hello).subarray(0, 20) },
    ];
    for (const { title, bytes } of partialMessages) {
      it(`is closed at the handshake timeout when it sends ${title}`, async () => {
        const socket = await open();
        socket.write(bytes);
        await expectCallWorks();
        assert.not(socket.closed);
        await clock.advance(HANDSHAKE_TIMEOUT_MS);
        await expectClosed(socket);
      });
    }

    it("is refused above the limit of unauthenticated connections", async () => {
      await expectCallWorks();
      const sockets: Socket[] = [];
      for (let n = 0; n < MAX_UNAUTHENTICATED_CONNECTIONS; n += 1) {
        sockets.push(await open());
      }
      const refused = await open();
      await expectClosed(refused);
      assert.is(sockets.filter((socket) => socket.closed).length, 0);
      sockets.forEach((socket) => socket.destroy());
    });
  });

  describe("an authenticated connection", () => {
    const oversize = Buffer.alloc(4);
    oversize.writeUInt32BE(MAX_FRAME_BYTES + 1, 0);
    const faults = [
      { title: "a frame over the size limit", bytes: oversize },
      { title: "invalid CBOR", bytes: Buffer.from([0, 0, 0, 2, 0xff, 0xff]) },
      {
        title: "a message that is not a call",
        bytes: encodeFrame({ type: "boat" }),
      },
    ];
    for (const { title, bytes } of faults) {
      it(`is closed on ${title}, without affecting others`, async () => {
        const socket = await open();
        await authenticate(socket);
        socket.write(bytes);
        await expectClosed(socket);
      });
    }

    it("does not delay others when it stalls within a frame", async () => {
      const socket = await open();
      await authenticate(socket);
      socket.write(Buffer.from([0, 1, 0, 0, 0xff]));
      await nextTurn();
      await expectCallWorks();
      socket.destroy();
    });
  });
});
