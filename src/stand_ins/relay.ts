/** A TCP relay that delays bytes and can hold them back in each direction. */
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { SystemClock } from "../adapters/clock/index.ts";
import { Notifier } from "../tasks/index.ts";

/**
 * Direction of bytes through a relay; `forward` is away from the connecting
 * side.
 */
export type RelayDirection = "forward" | "backward";

/** Options of {@link Relay}. */
export interface RelayOptions {
  /** Loopback port to which the relay connects. */
  readonly targetPort: number;
  /**
   * Delay of each chunk in each direction (ms); rounded up to timer precision.
   */
  readonly delayMs: number;
}

interface DueChunk {
  readonly chunk: Uint8Array;
  readonly dueAtMs: number;
}

/**
 * Relays TCP connections; a cut holds bytes back but keeps connections open.
 */
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
    this.#server = createServer({ noDelay: true }, (inbound) => {
      this.#serve(inbound).catch(() => inbound.destroy());
    });
  }

  /** Number of bytes relayed in both directions. */
  get relayedBytes(): number {
    return this.#relayedBytes;
  }

  /**
   * Starts to listen on a free loopback port.
   *
   * @returns The port to connect to.
   * @throws Error when the relay has no port.
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
   * Holds bytes back without closing connections.
   *
   * @param direction - The direction to cut.
   */
  cut(direction: RelayDirection): void {
    this.#cut.add(direction);
  }

  /** Removes all cuts; bytes that were held back are then relayed. */
  heal(): void {
    this.#cut.clear();
    this.#healed.notify();
  }

  /** Closes the relay and all connections through it. */
  async stop(): Promise<void> {
    this.#stop.abort();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #serve(inbound: Socket): Promise<void> {
    const outbound = connect({
      host: "127.0.0.1",
      port: this.#options.targetPort,
      noDelay: true,
    });
    for (const socket of [inbound, outbound]) {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => this.#sockets.delete(socket));
    }
    await Promise.all([
      this.#relay(inbound, outbound, "forward"),
      this.#relay(outbound, inbound, "backward"),
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
    // A cut also delays the end of a connection.
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
