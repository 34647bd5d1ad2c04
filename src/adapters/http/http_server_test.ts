import { once } from "node:events";
import { connect, type Socket } from "node:net";
import * as assert from "uvu/assert";
import { TaskGroup } from "../../tasks/index.ts";
import {
  afterEach,
  beforeEach,
  describe,
  FakeClock,
  FakeLogger,
  it,
} from "../../testing/index.ts";
import { HttpServer } from "./http_server.ts";
import { sendJson } from "./exchange.ts";

const HOST = "127.0.0.1";
/** Time after which a request counts as never answered, in milliseconds. */
const ANSWER_LIMIT_MS = 5_000;

describe("HTTP server", () => {
  let tasks: TaskGroup;
  let port: number;
  /** Ends the wait of the handler of a request, by its name. */
  let release: Map<string, () => void>;
  let arrived: (name: string) => void;

  beforeEach(async () => {
    const clock = new FakeClock();
    const logger = new FakeLogger();
    tasks = new TaskGroup({ clock, logger });
    release = new Map();
    arrived = () => undefined;
    const server = new HttpServer({
      host: HOST,
      port: 0,
      clock,
      logger,
      tasks,
    });
    server.route(["GET"], "/:name", async ({ params, response }) => {
      const name = params.name ?? "";
      const released = new Promise<void>((resolve) => {
        release.set(name, resolve);
      });
      arrived(name);
      await released;
      sendJson(response, 200, name);
    });
    port = await server.start();
  });

  afterEach(async () => {
    release.forEach((end) => end());
    await tasks.stop();
  });

  async function open(): Promise<Socket> {
    const socket = connect({ host: HOST, port, noDelay: true });
    socket.on("error", () => undefined);
    await once(socket, "connect");
    return socket;
  }

  /** Sends requests at once and waits until the handlers of all have begun. */
  async function send(socket: Socket, names: readonly string[]): Promise<void> {
    const open = new Set(names);
    const allArrived = new Promise<void>((resolve) => {
      arrived = (name) => {
        open.delete(name);
        if (open.size === 0) {
          resolve();
        }
      };
    });
    const requests = names.map((name) =>
      `GET /${name} HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`
    );
    socket.write(requests.join(""));
    await allArrived;
  }

  /** Reads the bodies of the next answers on a connection. */
  async function readBodies(socket: Socket, count: number): Promise<string[]> {
    let text = "";
    let bodies: string[] = [];
    while (bodies.length < count) {
      const [chunk] = await once(socket, "data");
      text += String(chunk);
      bodies = [...text.matchAll(/\r\n\r\n"(.*?)"\n/g)].map(([, body = ""]) =>
        body
      );
    }
    return bodies;
  }

  // Guards against an operator who reads the state of another wave.
  describe("answers each request on its own exchange", () => {
    it("when the later one of a connection is done first", async () => {
      const socket = await open();
      await send(socket, ["a", "b"]);
      const bodies = readBodies(socket, 2);
      release.get("b")?.();
      release.get("a")?.();
      assert.equal(await bodies, ["a", "b"]);
      socket.destroy();
    });

    it("when the sender of an earlier one has gone", async () => {
      const first = await open();
      await send(first, ["a"]);
      first.destroy();
      const second = await open();
      await send(second, ["b"]);
      const bodies = readBodies(second, 1);
      release.get("a")?.();
      release.get("b")?.();
      assert.equal(await bodies, ["b"]);
      await send(second, ["c"]);
      const next = readBodies(second, 1);
      release.get("c")?.();
      assert.equal(await next, ["c"]);
      second.destroy();
    });
  });

  // Guards against requests without an answer whose connection stays open: the
  // path is no URL by itself, and reading it threw an error.
  describe("answers a request", () => {
    const STATUS_BY_TARGET = {
      "//:": 404,
      "///a/b": 404,
      "/%zz/b": 404,
      "http://[": 400,
    };
    for (const [target, status] of Object.entries(STATUS_BY_TARGET)) {
      it(`with the target ${target}, and the next one on its connection`, async () => {
        const socket = await open();
        socket.write(`GET ${target} HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`);
        const signal = AbortSignal.timeout(ANSWER_LIMIT_MS);
        const [head] = await once(socket, "data", { signal });
        assert.match(String(head), new RegExp(`^HTTP/1.1 ${status} `));
        await send(socket, ["a"]);
        const bodies = readBodies(socket, 1);
        release.get("a")?.();
        assert.equal(await bodies, ["a"]);
        socket.destroy();
      });
    }

    it("with the path //", async () => {
      const socket = await open();
      const hasArrived = new Promise<void>((resolve) => {
        arrived = () => resolve();
      });
      socket.write(`GET // HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`);
      await Promise.race([
        hasArrived,
        once(socket, "data", { signal: AbortSignal.timeout(ANSWER_LIMIT_MS) }),
      ]);
      const bodies = readBodies(socket, 1);
      release.get("")?.();
      assert.equal(await bodies, [""]);
      socket.destroy();
    });
  });
});
