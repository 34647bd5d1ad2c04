/** An HTTP server that answers each request on its connection twice. */
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { findFreePort } from "./free_port.ts";

/** An answer as JSON. */
export interface RepeatedAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Options of {@link withRepeatingServer}. */
export interface RepeatingServerOptions {
  /** Chooses the answer to a request by its text. */
  readonly answer: (text: string) => RepeatedAnswer;
  /** Time until the first answer (ms). */
  readonly answerMs: number;
  /**
   * Time from the first answer to the second one (ms), 0 for one packet; or
   * `onNextRequest` if it comes while the connection carries the next request.
   */
  readonly secondAnswerMs: number | "onNextRequest";
}

/**
 * Runs a server while it is used.
 *
 * @param options - The answers and their times.
 * @param use - Gets the host and port of the server.
 */
export async function withRepeatingServer(
  options: RepeatingServerOptions,
  use: (address: string) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    answerTwice(socket, options);
  });
  const port = await findFreePort();
  server.listen(port, "127.0.0.1");
  await once(server, "listening");
  try {
    await use(`127.0.0.1:${port}`);
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  }
}

function answerTwice(
  socket: Socket,
  { answer, answerMs, secondAnswerMs }: RepeatingServerOptions,
): void {
  let earlier = "";
  socket.on("error", () => undefined);
  socket.on("data", (chunk) => {
    const message = encodeAnswer(answer(chunk.toString()));
    if (secondAnswerMs === "onNextRequest") {
      socket.write(earlier);
      earlier = message;
    }
    void (async () => {
      await sleep(answerMs);
      if (secondAnswerMs === 0) {
        socket.write(message + message);
        return;
      }
      socket.write(message);
      if (secondAnswerMs === "onNextRequest") {
        return;
      }
      await sleep(secondAnswerMs);
      if (socket.writable) {
        socket.write(message);
      }
    })();
  });
}

function encodeAnswer({ body, status }: RepeatedAnswer): string {
  const text = JSON.stringify(body);
  return `HTTP/1.1 ${status} X\r\n` +
    `content-type: application/json\r\n` +
    `content-length: ${text.length}\r\n\r\n${text}`;
}
