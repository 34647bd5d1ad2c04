/** Hands what a client sends to the parser of requests, no faster than allowed. */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { setImmediate } from "node:timers";

const HEAD_END = "\r\n\r\n";
/** Largest part that may contain more than one request, in bytes. */
const MAX_PART_BYTES = 1_024;

/** What a paused socket may read from the system beyond that, in bytes. */
const READ_AHEAD_BYTES = 64 * 1_024;

type Parse = (this: Socket, part: Buffer) => void;

/** Options of {@link ConnectionInput}. */
export interface ConnectionInputOptions {
  /** A socket that the HTTP server has just taken. */
  readonly socket: Socket;
  /** Returns whether the next part may be parsed. */
  readonly mayParse: () => boolean;
  /** Returns the request that was parsed last. */
  readonly findLastRequest: () => IncomingMessage | undefined;
  /** Takes how many bytes wait to be parsed, or may come meanwhile. */
  readonly onWaiting: (byteCount: number) => void;
}

/**
 * Divides what was read from a socket into parts with one request each, where
 * that can be told. Otherwise the parser creates the objects of thousands of
 * small requests at once, before any of them can be answered or refused.
 */
export class ConnectionInput {
  readonly #options: ConnectionInputOptions;
  readonly #parsers: Parse[];
  #waiting: readonly Buffer[] = [];
  #isParsing = false;
  #isHeld = false;
  #bodyOwner: IncomingMessage | undefined;
  /** Bytes of its body that were not parsed; undefined when chunked. */
  #bodyLeftBytes: number | undefined;

  /** @param options - The socket, and what limits its requests. */
  constructor(options: ConnectionInputOptions) {
    this.#options = options;
    const { socket } = options;
    this.#parsers = socket.listeners("data") as Parse[];
    this.#parsers.forEach((parse) => socket.off("data", parse));
    socket.on("data", (chunk) => {
      this.#waiting = [...this.#waiting, chunk];
      this.#parse();
    });
    socket.on("resume", () => this.#parse());
  }

  /** Goes on if parsing was held, and is allowed again. */
  wake(): void {
    if (this.#isHeld && this.#options.mayParse()) {
      this.#isHeld = false;
      const { socket } = this.#options;
      // Not in this turn of the event loop: one client with thousands of requests
      // that are answered at once would keep all others waiting.
      setImmediate(() => socket.resume());
    }
  }

  #parse(): void {
    if (this.#isParsing) {
      return;
    }
    const { mayParse, onWaiting, socket } = this.#options;
    this.#isParsing = true;
    // The HTTP server pauses the socket too, and its parser with it.
    while (
      this.#waiting.length > 0 && !socket.destroyed && !socket.isPaused()
    ) {
      if (!mayParse()) {
        this.#isHeld = true;
        socket.pause();
        break;
      }
      this.#parsePart();
    }
    this.#isParsing = false;
    if (socket.destroyed) {
      this.#waiting = [];
    }
    const waitingBytes = this.#waiting.reduce(
      (total, chunk) => total + chunk.length,
      0,
    );
    onWaiting(socket.isPaused() ? waitingBytes + READ_AHEAD_BYTES : 0);
  }

  #parsePart(): void {
    const [chunk, ...rest] = this.#waiting;
    if (chunk === undefined) {
      return;
    }
    const { findLastRequest, socket } = this.#options;
    const last = findLastRequest();
    const isInBody = last !== undefined && !last.complete;
    const headBytes = isInBody ? undefined : findHeadEnd(chunk);
    const partBytes = Math.min(
      chunk.length,
      headBytes ?? this.#findBodyPart(last),
    );
    this.#waiting = partBytes === chunk.length
      ? rest
      : [chunk.subarray(partBytes), ...rest];
    const part = chunk.subarray(0, partBytes);
    this.#parsers.forEach((parse) => parse.call(socket, part));
    if (isInBody && this.#bodyLeftBytes !== undefined) {
      this.#bodyLeftBytes -= partBytes;
    }
    const next = findLastRequest();
    if (next !== last) {
      this.#bodyOwner = next;
      const declared = next?.headers["content-length"];
      this.#bodyLeftBytes = headBytes === undefined || declared === undefined
        ? undefined
        : Number(declared);
    }
  }

  #findBodyPart(last: IncomingMessage | undefined): number {
    const leftBytes = last === this.#bodyOwner ? this.#bodyLeftBytes : 0;
    return leftBytes !== undefined && leftBytes > 0
      ? leftBytes
      : MAX_PART_BYTES;
  }
}

/** Returns where the first head ends, or undefined when it is not seen. */
function findHeadEnd(chunk: Buffer): number | undefined {
  const at = chunk.subarray(0, MAX_PART_BYTES).indexOf(HEAD_END);
  return at < 0 ? undefined : at + HEAD_END.length;
}
