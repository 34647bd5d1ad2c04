import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import * as assert from "uvu/assert";
import { SystemClock } from "../adapters/clock/index.ts";
import { afterEach, beforeEach, describe, it } from "../testing/describe.ts";
import { Relay } from "./relay.ts";

const DELAY_MS = 5;
const SILENCE_MS = 40;

describe("relay", () => {
  const clock = new SystemClock();
  let relay: Relay;
  let socket: Socket;
  let echoServer: ReturnType<typeof createServer>;
  let received = "";
  const peers = new Set<Socket>();

  beforeEach(async () => {
    received = "";
    echoServer = createServer((peer) => {
      peer.on("error", () => undefined);
      peer.pipe(peer);
      peers.add(peer);
    });
    echoServer.listen(0, "127.0.0.1");
    await once(echoServer, "listening");
    const { port: targetPort } = echoServer.address() as AddressInfo;
    relay = new Relay({ targetPort, delayMs: DELAY_MS });
    socket = connect(await relay.start(), "127.0.0.1");
    socket.on("data", (chunk) => received += chunk);
    await once(socket, "connect");
    socket.write("first");
    await once(socket, "data");
    received = "";
  });

  afterEach(async () => {
    socket.destroy();
    await relay.stop();
    await new Promise<void>((resolve) => echoServer.close(() => resolve()));
  });

  it("delays bytes in each direction", async () => {
    const startedAtMs = clock.monotonicMs();
    socket.write("hello");
    await once(socket, "data");
    assert.is(received, "hello");
    assert.ok(clock.monotonicMs() - startedAtMs >= 2 * DELAY_MS);
  });

  for (const direction of ["forward", "backward"] as const) {
    it(`holds bytes back while ${direction} is cut and keeps the connection open`, async () => {
      relay.cut(direction);
      socket.write("late");
      await clock.sleep(SILENCE_MS);
      assert.is(received, "");
      assert.not(socket.destroyed);
      relay.heal();
      await once(socket, "data");
      assert.is(received, "late");
    });
  }

  it("delays the end of a connection while the direction is cut", async () => {
    relay.cut("backward");
    let isClosed = false;
    socket.once("close", () => isClosed = true);
    peers.forEach((peer) => peer.destroy());
    await clock.sleep(SILENCE_MS);
    assert.not(isClosed);
    relay.heal();
    await once(socket, "close");
  });
});
