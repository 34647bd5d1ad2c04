import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import * as assert from "uvu/assert";
import type { Attempt } from "../../ports/index.ts";
import { afterEach, beforeEach, describe, it } from "../../testing/index.ts";
import { UndiciBackendClient } from "./undici_backend_client.ts";

const LEASE_MS = 2_000;
const SHORT_LEASE_MS = 60;

type Respond = (socket: Socket, attemptId: string) => void;

/** A server whose raw response to each request head is set by the test. */
class RawServer {
  readonly receivedAttemptIds: string[] = [];
  respond: Respond = () => undefined;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server = createServer((socket) => this.#serve(socket));

  async start(): Promise<number> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  get openCount(): number {
    return [...this.#sockets].filter(({ closed }) => !closed).length;
  }

  async stop(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
    await once(this.#server, "close");
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    let text = "";
    socket.on("error", () => undefined).on("data", (chunk) => {
      text += chunk.toString("latin1");
      const end = text.indexOf("\r\n\r\n");
      if (end < 0) {
        return;
      }
      const attemptId =
        /cardamomsill-attempt-id: (\S+)/.exec(text.slice(0, end))?.[1] ?? "";
      text = "";
      this.receivedAttemptIds.push(attemptId);
      this.respond(socket, attemptId);
    });
  }
}

function formatResponse(attemptId: string, rest: string): string {
  return `HTTP/1.1 200 OK\r\ncardamomsill-attempt-id: ${attemptId}\r\n${rest}`;
}

function respondCompletely(socket: Socket, attemptId: string): void {
  socket.write(formatResponse(attemptId, `content-length: 2\r\n\r\nok`));
}

async function readBody(body: AsyncIterable<Uint8Array>): Promise<string> {
  let text = "";
  for await (const chunk of body) {
    text += new TextDecoder().decode(chunk);
  }
  return text;
}

describe("UndiciBackendClient", () => {
  let server: RawServer;
  let client: UndiciBackendClient;
  let port = 0;

  function createAttempt(overrides: Partial<Attempt> = {}): Attempt {
    return {
      attemptId: "a1",
      host: "127.0.0.1",
      port,
      connectionCount: 1,
      method: "GET",
      path: "/x",
      headers: {},
      body: undefined,
      leaseMs: LEASE_MS,
      deadlineMs: LEASE_MS,
      signal: new AbortController().signal,
      ...overrides,
    };
  }

  beforeEach(async () => {
    server = new RawServer();
    port = await server.start();
    client = new UndiciBackendClient();
  });

  afterEach(async () => {
    await client.close();
    await server.stop();
  });

  it("returns a complete response", async () => {
    server.respond = respondCompletely;
    const sent = await client.send(createAttempt());
    assert.ok(sent.isOk);
    assert.is(await readBody(sent.value.body), "ok");
  });

  it("opens no more connections than the connection count of the attempt", async () => {
    server.respond = respondCompletely;
    const attempts = ["a1", "a2", "a3", "a4"];
    for (let round = 0; round < 5; round += 1) {
      await Promise.all(attempts.map(async (attemptId) => {
        const sent = await client.send(
          createAttempt({ attemptId, connectionCount: 2 }),
        );
        assert.ok(sent.isOk);
        await readBody(sent.value.body);
      }));
      assert.ok(server.openCount <= 2, `${server.openCount} are open`);
    }
  });

  describe("before a response", () => {
    const faults: readonly {
      readonly fault: string;
      readonly respond: Respond;
      readonly attempt?: Partial<Attempt>;
      readonly notStarted: boolean;
      readonly kind: string;
    }[] = [
      {
        fault: "reset after the request was read",
        respond: (socket) => socket.resetAndDestroy(),
        notStarted: false,
        kind: "outcomeUnknown",
      },
      {
        fault: "closed without a response",
        respond: (socket) => socket.end(),
        notStarted: false,
        kind: "outcomeUnknown",
      },
      {
        fault: "closed within the response head",
        respond: (socket, id) => socket.end(formatResponse(id, "content-le")),
        notStarted: false,
        kind: "outcomeUnknown",
      },
      {
        fault: "no response until the lease ends",
        respond: () => undefined,
        attempt: { leaseMs: SHORT_LEASE_MS },
        notStarted: false,
        kind: "outcomeUnknown",
      },
      {
        fault: "response to another attempt",
        respond: (socket) => respondCompletely(socket, "other"),
        notStarted: false,
        kind: "outcomeUnknown",
      },
      {
        fault: "response without the attempt id",
        respond: (socket) =>
          socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        notStarted: false,
        kind: "outcomeUnknown",
      },
      {
        fault: "response whose truncation could not be detected",
        respond: (socket, id) => socket.end(formatResponse(id, "\r\nok")),
        notStarted: false,
        kind: "outcomeUnknown",
      },
      {
        fault: "refused by the server before it started",
        respond: (socket, id) =>
          socket.write(
            formatResponse(
              id,
              "cardamomsill-not-started: true\r\ncontent-length: 0\r\n\r\n",
            ),
          ),
        notStarted: true,
        kind: "noBackendServer",
      },
      {
        fault: "header that cannot be sent",
        respond: () => undefined,
        attempt: { headers: { expect: "100-continue\u0000" } },
        notStarted: true,
        kind: "invalidInput",
      },
    ];
    for (const { fault, respond, attempt, notStarted, kind } of faults) {
      it(`${fault}: ${notStarted ? "not started" : "unknown outcome"}`, async () => {
        server.respond = respond;
        const sent = await client.send(createAttempt(attempt));
        assert.ok(sent.isErr);
        assert.is(sent.error.notStarted, notStarted);
        assert.is(sent.error.failure.kind, kind);
        assert.ok(
          server.receivedAttemptIds.length <= 1,
          "the attempt must not be sent again",
        );
      });
    }

    it("closed port: not started", async () => {
      await server.stop();
      const sent = await client.send(createAttempt());
      assert.ok(sent.isErr);
      assert.is(sent.error.notStarted, true);
      server = new RawServer();
      await server.start();
    });

    it("idle connection that closes during a request: unknown outcome, sent once", async () => {
      server.respond = respondCompletely;
      const first = await client.send(createAttempt());
      assert.ok(first.isOk);
      await readBody(first.value.body);
      server.respond = (socket) => socket.destroy();
      const second = await client.send(createAttempt({ attemptId: "a2" }));
      assert.ok(second.isErr);
      assert.is(second.error.notStarted, false);
      assert.equal(server.receivedAttemptIds, ["a1", "a2"]);
    });

    it("does not pass a duplicate response to another attempt", async () => {
      server.respond = (socket, id) => {
        respondCompletely(socket, id);
        respondCompletely(socket, id);
      };
      const first = await client.send(createAttempt());
      assert.ok(first.isOk);
      await readBody(first.value.body);
      server.respond = respondCompletely;
      const second = await client.send(createAttempt({ attemptId: "a2" }));
      if (second.isErr) {
        assert.is(second.error.failure.kind, "outcomeUnknown");
      } else {
        assert.is(await readBody(second.value.body), "ok");
      }
      const third = await client.send(createAttempt({ attemptId: "a3" }));
      assert.ok(
        third.isOk,
        "a connection with a mismatched response must not be reused",
      );
    });
  });

  describe("while waiting for a connection", () => {
    const ends: readonly {
      readonly end: string;
      readonly leaseMs: number;
      readonly kind: string;
    }[] = [
      { end: "the caller disconnects", leaseMs: LEASE_MS, kind: "cancelled" },
      { end: "the lease ends", leaseMs: SHORT_LEASE_MS, kind: "expired" },
    ];
    for (const { end, leaseMs, kind } of ends) {
      it(`${end}: not started, and never sent later`, async () => {
        const arrived = new Promise<() => void>((resolve) => {
          server.respond = (socket, id) =>
            resolve(() => respondCompletely(socket, id));
        });
        const first = client.send(createAttempt());
        const finish = await arrived;
        const caller = new AbortController();
        const second = client.send(
          createAttempt({ attemptId: "a2", leaseMs, signal: caller.signal }),
        );
        if (kind === "cancelled") {
          caller.abort();
        }
        const sent = await second;
        assert.ok(sent.isErr);
        assert.is(sent.error.notStarted, true);
        assert.is(sent.error.failure.kind, kind);
        finish();
        const whole = await first;
        assert.ok(whole.isOk);
        await readBody(whole.value.body);
        server.respond = respondCompletely;
        assert.ok((await client.send(createAttempt({ attemptId: "a3" }))).isOk);
        assert.equal(server.receivedAttemptIds, ["a1", "a3"]);
      });
    }
  });

  describe("within the body of a response", () => {
    const cuts: readonly {
      readonly cut: string;
      readonly rest: string;
    }[] = [
      { cut: "before its content-length", rest: "content-length: 9\r\n\r\nok" },
      {
        cut: "within a chunk",
        rest: "transfer-encoding: chunked\r\n\r\n9\r\nok",
      },
      {
        cut: "between chunks",
        rest: "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
      },
    ];
    for (const { cut, rest } of cuts) {
      it(`truncated ${cut}: the body throws`, async () => {
        server.respond = (socket, id) => socket.end(formatResponse(id, rest));
        const sent = await client.send(createAttempt());
        assert.ok(sent.isOk);
        let error: unknown;
        await readBody(sent.value.body).catch((thrown) => {
          error = thrown;
        });
        assert.instance(error, Error);
      });
    }

    it("closes the connection when the caller disconnects", async () => {
      const closed = new Promise((resolve) => {
        server.respond = (socket, id) => {
          socket.once("close", resolve);
          socket.write(formatResponse(id, "content-length: 9\r\n\r\nok"));
        };
      });
      const caller = new AbortController();
      const sent = await client.send(createAttempt({ signal: caller.signal }));
      assert.ok(sent.isOk);
      caller.abort();
      await closed;
    });
  });
});
