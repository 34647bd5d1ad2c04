/** The network between the entries of a test deployment: one relay for each pair. */
import { Relay, type RelayDirection } from "./relay.ts";

const ALL_DIRECTIONS: readonly RelayDirection[] = ["forward", "backward"];

/** An entry with its real peer port. */
export interface RelayedEntry {
  readonly entryId: string;
  readonly peerPort: number;
}

/** The port by which one entry reaches another. */
export interface RelayPort {
  readonly from: string;
  readonly to: string;
  readonly port: number;
}

interface RelayedPair extends RelayPort {
  readonly relay: Relay;
}

/** Relays every connection between entries, so that each can be cut. */
export class DeploymentNetwork {
  readonly #pairs: RelayedPair[] = [];

  /**
   * Opens a relay for each ordered pair of entries.
   *
   * @param entries - Entries with their peer ports.
   * @param delayMs - One-way delay, in milliseconds.
   * @returns The network.
   */
  static async start(
    entries: readonly RelayedEntry[],
    delayMs: number,
  ): Promise<DeploymentNetwork> {
    const network = new DeploymentNetwork();
    for (const from of entries) {
      for (const to of entries.filter((entry) => entry !== from)) {
        const relay = new Relay({ targetPort: to.peerPort, delayMs });
        const port = await relay.start();
        network.#pairs.push({
          from: from.entryId,
          to: to.entryId,
          relay,
          port,
        });
      }
    }
    return network;
  }

  /**
   * Counts the bytes that an entry sent and received.
   *
   * @param entryId - The entry.
   * @returns Bytes on all its connections so far.
   */
  countBytes(entryId: string): number {
    return this.#pairs
      .filter(({ from, to }) => from === entryId || to === entryId)
      .reduce((sum, { relay }) => sum + relay.relayedBytes, 0);
  }

  /**
   * Lists the relays.
   *
   * @returns The port by which each entry reaches each other one.
   */
  listPorts(): RelayPort[] {
    return this.#pairs.map(({ from, to, port }) => ({ from, to, port }));
  }

  /**
   * Cuts an entry off from all others, silently.
   *
   * @param entryId - The entry.
   */
  isolate(entryId: string): void {
    for (const { from, to, relay } of this.#pairs) {
      if (from === entryId || to === entryId) {
        ALL_DIRECTIONS.forEach((direction) => relay.cut(direction));
      }
    }
  }

  /**
   * Cuts what one entry sends to another, while the way back stays open.
   *
   * @param sender - Entry whose bytes are held back.
   * @param receiver - Entry that no longer hears the sender.
   */
  cutOneWay(sender: string, receiver: string): void {
    for (const { from, to, relay } of this.#pairs) {
      if (from === sender && to === receiver) {
        relay.cut("forward");
      }
      if (from === receiver && to === sender) {
        relay.cut("backward");
      }
    }
  }

  /** Heals every cut. */
  heal(): void {
    this.#pairs.forEach(({ relay }) => relay.heal());
  }
}
