/** A relay between two processes that delays, cuts silently, cuts one way and heals. */
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { SystemClock } from "../adapters/clock/index.ts";
import { Notifier } from "../tasks/index.ts";

/** Way of the bytes through a relay, seen from the side that connects. */
export type RelayDirection = "forward" | "backward";

/** Options of {@link Relay}. */
export interface RelayOptions {
  /** Port on loopback that the relay connects to. */
  readonly targetPort: number;
  /** Delay of each chunk in each direction, in milliseconds; timers round it up. */
  readonly delayMs: number;
}

interface DueChunk {
  readonly chunk: Uint8Array;
  readonly dueAtMs: number;
}

/** Relays TCP connections; a cut holds bytes back and keeps connections open. */
export class Relay {
  readonly #options: RelayOptions;
  readonly #clock = new SystemClock();
  readonly #stop = new AbortController();
  readonly #healed = new Notifier();
  readonly #cut = new Set<RelayDirection>();
  readonly #sockets = new Set<Socket>();
  readonly #server: Server;
  #relayedBytes = 0;

  constructor(options: RelayOptions) {
    this.#options = options;
    this.#server = createServer({ noDelay: true }, (near) => {
      this.#serve(near).catch(() => near.destroy());
    });
  }

  /** Bytes that came through in both directions. */
  get relayedBytes(): number {
    return this.#relayedBytes;
  }

  /**
   * Opens the relay.
   *
   * @returns The port to connect to.
   */
  async start(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const address = this.#server.address();
    if (typeof address !== "object" || address === null) {
      throw new Error("the relay has no port");
    }
    return address.port;
  }

  /**
   * Holds bytes back without closing a connection.
   *
   * @param direction - The direction that is cut.
   */
  cut(direction: RelayDirection): void {
    this.#cut.add(direction);
  }

  /** Lets bytes through again; what was held back arrives late. */
  heal(): void {
    this.#cut.clear();
    this.#healed.notify();
  }

  /** Closes the relay and every connection through it. */
  async stop(): Promise<void> {
    this.#stop.abort();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #serve(near: Socket): Promise<void> {
    const far = connect({
      host: "127.0.0.1",
      port: this.#options.targetPort,
      noDelay: true,
    });
    for (const socket of [near, far]) {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => this.#sockets.delete(socket));
    }
    await Promise.all([
      this.#relay(near, far, "forward"),
      this.#relay(far, near, "backward"),
    ]);
  }

  async #relay(
    from: Socket,
    to: Socket,
    direction: RelayDirection,
  ): Promise<void> {
    const waiting: DueChunk[] = [];
    const arrived = new Notifier();
    let isEnded = false;
    from.on("data", (chunk: Uint8Array) => {
      const dueAtMs = this.#clock.monotonicMs() + this.#options.delayMs;
      waiting.push({ chunk, dueAtMs });
      arrived.notify();
    });
    from.once("close", () => {
      isEnded = true;
      arrived.notify();
    });
    while (!this.#stop.signal.aborted) {
      const next = waiting.shift();
      if (next !== undefined) {
        await this.#forwardChunk(next, to, direction);
      } else if (isEnded) {
        break;
      } else {
        await arrived.wait(this.#stop.signal);
      }
    }
    // The end of a connection does not get through a cut either.
    await this.#waitUntilHealed(direction);
    to.destroy();
  }

  async #forwardChunk(
    { chunk, dueAtMs }: DueChunk,
    to: Socket,
    direction: RelayDirection,
  ): Promise<void> {
    const leftMs = dueAtMs - this.#clock.monotonicMs();
    if (leftMs > 0) {
      await this.#clock.sleep(Math.ceil(leftMs), this.#stop.signal);
    }
    await this.#waitUntilHealed(direction);
    this.#relayedBytes += chunk.length;
    if (!to.destroyed && !to.write(chunk)) {
      await Promise.race([once(to, "drain"), once(to, "close")]);
    }
  }

  async #waitUntilHealed(direction: RelayDirection): Promise<void> {
    while (this.#cut.has(direction) && !this.#stop.signal.aborted) {
      await this.#healed.wait(this.#stop.signal);
    }
  }
}
