/** The network of a deployment, whose relays run in a separate process. */
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

// The compiled file in the same folder.
const PROCESS_FILE = fileURLToPath(
  new URL("./relay_process.js", import.meta.url),
);

/** Controls the relays; each call resolves once it has taken effect. */
export class RelayedNetwork {
  readonly #child: ChildProcess;
  #ports: readonly RelayPort[] = [];
  #lastRequest: Promise<unknown> = Promise.resolve();

  constructor(child: ChildProcess) {
    this.#child = child;
  }

  /**
   * Starts the process, which opens a relay for each ordered pair of entries.
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
   * Finds the relay port through which one entry connects to another.
   *
   * @param from - Id of the entry that connects.
   * @param to - Id of the entry to which it connects.
   * @returns The port.
   * @throws Error when there is no such relay.
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
   * Cuts all links of an entry in both directions; its connections stay open.
   *
   * @param entryId - Id of the entry.
   */
  async isolate(entryId: string): Promise<void> {
    await this.#request({ type: "isolate", entryId });
  }

  /**
   * Cuts a link in one direction only.
   *
   * @param sender - Id of the entry whose bytes are held back.
   * @param receiver - Id of the entry that no longer receives them.
   */
  async cutOneWay(sender: string, receiver: string): Promise<void> {
    await this.#request({ type: "cutOneWay", sender, receiver });
  }

  /** Removes all cuts. */
  async heal(): Promise<void> {
    await this.#request({ type: "heal" });
  }

  /**
   * Counts the bytes that an entry sent and received.
   *
   * @param entryId - Id of the entry.
   * @returns Number of bytes on all its connections so far.
   */
  async countBytes(entryId: string): Promise<number> {
    const { byteCount } = await this.#request({ type: "countBytes", entryId });
    return byteCount ?? 0;
  }

  /** Kills the process of the relays and waits until it has exited. */
  async stop(): Promise<void> {
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      const exited = once(this.#child, "exit");
      this.#child.kill("SIGKILL");
      await exited;
    }
  }

  // Sends one request at a time, because answers have no id to match them.
  #request(request: RelayRequest): Promise<RelayAnswer> {
    const answer = this.#lastRequest.then(async () => {
      const answered = once(this.#child, "message");
      this.#child.send(request);
      const [message] = await answered;
      return v.parse(relayAnswerSchema, message);
    });
    this.#lastRequest = answer.catch(() => undefined);
    return answer;
  }
}
