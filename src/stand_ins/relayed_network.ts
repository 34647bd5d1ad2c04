/** The network of a deployment, whose relays run in a process of their own. */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import * as v from "valibot";
import type { RelayedEntry, RelayPort } from "./deployment_network.ts";
import {
  type RelayAnswer,
  relayAnswerSchema,
  type RelayRequest,
} from "./relay_messages.ts";

// The compiled file beside this one.
const PROCESS_FILE = fileURLToPath(
  new URL("./relay_process.js", import.meta.url),
);

/** Steers the relays; each call resolves when it is in force. */
export class RelayedNetwork {
  readonly #child: ChildProcess;
  #ports: readonly RelayPort[] = [];
  #lastRequest: Promise<unknown> = Promise.resolve();

  constructor(child: ChildProcess) {
    this.#child = child;
  }

  /**
   * Starts the process and opens a relay for each ordered pair of entries.
   *
   * @param entries - Entries with their peer ports.
   * @param delayMs - One-way delay, in milliseconds.
   * @returns The network.
   */
  static async start(
    entries: readonly RelayedEntry[],
    delayMs: number,
  ): Promise<RelayedNetwork> {
    const network = new RelayedNetwork(fork(PROCESS_FILE));
    const { ports } = await network.#request({
      type: "start",
      entries: [...entries],
      delayMs,
    });
    network.#ports = ports ?? [];
    return network;
  }

  /**
   * Finds the port by which one entry reaches another.
   *
   * @param from - Entry that connects.
   * @param to - Entry that is connected to.
   * @returns The relay's port.
   */
  findPort(from: string, to: string): number {
    const found = this.#ports.find((port) =>
      port.from === from && port.to === to
    );
    if (found === undefined) {
      throw new Error(`there is no relay from ${from} to ${to}`);
    }
    return found.port;
  }

  /**
   * Cuts an entry off from all others, silently.
   *
   * @param entryId - The entry.
   */
  async isolate(entryId: string): Promise<void> {
    await this.#request({ type: "isolate", entryId });
  }

  /**
   * Cuts what one entry sends to another, while the way back stays open.
   *
   * @param sender - Entry whose bytes are held back.
   * @param receiver - Entry that no longer hears the sender.
   */
  async cutOneWay(sender: string, receiver: string): Promise<void> {
    await this.#request({ type: "cutOneWay", sender, receiver });
  }

  /** Heals every cut. */
  async heal(): Promise<void> {
    await this.#request({ type: "heal" });
  }

  /**
   * Counts the bytes that an entry sent and received.
   *
   * @param entryId - The entry.
   * @returns Bytes on all its connections so far.
   */
  async countBytes(entryId: string): Promise<number> {
    const { byteCount } = await this.#request({ type: "countBytes", entryId });
    return byteCount ?? 0;
  }

  /** Ends the process of the relays. */
  async stop(): Promise<void> {
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      const exited = once(this.#child, "exit");
      this.#child.kill("SIGKILL");
      await exited;
    }
  }

  // One at a time, since answers carry no id.
  #request(request: RelayRequest): Promise<RelayAnswer> {
    const asked = this.#lastRequest.then(async () => {
      const answered = once(this.#child, "message");
      this.#child.send(request);
      const [message] = await answered;
      return v.parse(relayAnswerSchema, message);
    });
    this.#lastRequest = asked.catch(() => undefined);
    return asked;
  }
}
