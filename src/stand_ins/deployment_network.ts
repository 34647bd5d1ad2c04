/** The network between the entries of a test deployment, made of relays. */
import { Relay, type RelayDirection } from "./relay.ts";

const ALL_DIRECTIONS: readonly RelayDirection[] = ["forward", "backward"];

/** An entry and the peer port on which it listens. */
export interface RelayedEntry {
  readonly entryId: string;
  readonly peerPort: number;
}

/** The relay port through which one entry connects to another. */
export interface RelayPort {
  readonly from: string;
  readonly to: string;
  readonly port: number;
}

interface RelayedPair extends RelayPort {
  readonly relay: Relay;
}

/**
 * Relays all connections between entries, so that tests can cut each of them.
 */
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
   * @param entryId - Id of the entry.
   * @returns Number of bytes on all its connections so far.
   */
  countBytes(entryId: string): number {
    return this.#pairs
      .filter(({ from, to }) => from === entryId || to === entryId)
      .reduce((sum, { relay }) => sum + relay.relayedBytes, 0);
  }

  /**
   * Lists the ports of all relays.
   *
   * @returns One port for each ordered pair of entries.
   */
  listPorts(): RelayPort[] {
    return this.#pairs.map(({ from, to, port }) => ({ from, to, port }));
  }

  /**
   * Cuts all links of an entry in both directions; its connections stay open.
   *
   * @param entryId - Id of the entry.
   */
  isolate(entryId: string): void {
    for (const { from, to, relay } of this.#pairs) {
      if (from === entryId || to === entryId) {
        ALL_DIRECTIONS.forEach((direction) => relay.cut(direction));
      }
    }
  }

  /**
   * Cuts a link in one direction only.
   *
   * @param sender - Id of the entry whose bytes are held back.
   * @param receiver - Id of the entry that no longer receives them.
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

  /** Removes all cuts. */
  heal(): void {
    this.#pairs.forEach(({ relay }) => relay.heal());
  }
}
