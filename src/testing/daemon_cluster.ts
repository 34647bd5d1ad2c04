/** Several real daemons that know each other, for tests and bench. */
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { request } from "undici";
import {
  type DaemonOptions,
  type DaemonProcess,
  spawnDaemon,
  waitUntilReady,
} from "./daemon_process.ts";
import { findFreePort } from "./free_port.ts";

const SECRET = "a-secret-that-only-tests-use";
const OPERATOR_KEY = "an-operator-key-that-only-tests-use";

/** Options of {@link createDaemonCluster}. */
export interface DaemonClusterOptions {
  /** Folder in which each daemon has a folder of its own. */
  readonly folder: string;
  readonly voterCount: number;
  /** Entries without a disk. */
  readonly observerCount: number;
}

/** An entry that can be started again. */
export interface ClusterEntry extends DaemonOptions {
  readonly entryId: string;
  daemon: DaemonProcess | undefined;
}

/** Real daemons with one operator key. */
export class DaemonCluster {
  readonly entries: readonly ClusterEntry[];

  constructor(entries: readonly ClusterEntry[]) {
    this.entries = entries;
  }

  /** Starts all daemons and waits until each is ready. */
  async start(): Promise<void> {
    for (const entry of this.entries) {
      entry.daemon = spawnDaemon(entry);
    }
    for (const { daemon } of this.entries) {
      if (daemon !== undefined) {
        await waitUntilReady(daemon);
      }
    }
  }

  /** Ends all daemons at once. */
  async kill(): Promise<void> {
    for (const entry of this.entries) {
      await entry.daemon?.kill();
      entry.daemon = undefined;
    }
  }

  /**
   * Calls the operators' interface of an entry.
   *
   * @param url - Address of the entry.
   * @param path - Path of the call.
   * @param body - Sent as JSON with POST; a GET without.
   * @returns Status and parsed body.
   */
  async call(
    url: string,
    path: string,
    body?: unknown,
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    const answer = await request(`${url}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
      body: body === undefined ? null : JSON.stringify(body),
    });
    const parsed = await answer.body.json() as Record<string, unknown>;
    return { status: answer.statusCode, body: parsed };
  }

  /**
   * Applies a change that sets one zone.
   *
   * @param url - Address of the entry.
   * @param name - Name of the zone and of the operation.
   * @param expectedRevision - Revision that the change builds on.
   * @returns Status and parsed body.
   */
  async applyZone(
    url: string,
    name: string,
    expectedRevision: number,
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    return await this.call(url, "/v1/changes", {
      operationId: `operation-${name}`,
      expectedRevision,
      puts: [{ kind: "zone", name, region: "region-1" }],
    });
  }
}

/**
 * Writes the settings of several daemons; it starts none.
 *
 * @param options - Folder and numbers of entries.
 * @returns The daemons.
 */
export async function createDaemonCluster(
  options: DaemonClusterOptions,
): Promise<DaemonCluster> {
  const { folder, voterCount, observerCount } = options;
  const secretFile = join(folder, "peer.secret");
  const operatorKeyFile = join(folder, "operator.key");
  await writeFile(secretFile, SECRET);
  await writeFile(operatorKeyFile, OPERATOR_KEY);
  const all = [];
  for (let number = 1; number <= voterCount + observerCount; number += 1) {
    all.push({
      entryId: `entry-${number}`,
      zone: `zone-${1 + number % 3}`,
      voter: number <= voterCount,
      httpPort: await findFreePort(),
      host: "127.0.0.1",
      port: await findFreePort(),
    });
  }
  const entries: ClusterEntry[] = [];
  for (const { entryId, zone, voter, httpPort, host, port } of all) {
    const ownFolder = join(folder, entryId);
    const settingsFile = join(ownFolder, "entry.jsonc");
    await mkdir(ownFolder, { recursive: true });
    const settings = {
      entryId,
      zone,
      voter,
      dataFolder: voter ? "data" : null,
      http: { port: httpPort },
      peer: { host, port },
      peers: all.filter((other) => other.entryId !== entryId).map((
        { httpPort: _, ...peer },
      ) => peer),
      peerSecretFile: secretFile,
      operatorKeyFile,
    };
    await writeFile(settingsFile, JSON.stringify(settings));
    entries.push({
      entryId,
      folder: ownFolder,
      settingsFile,
      url: `http://127.0.0.1:${httpPort}`,
      daemon: undefined,
    });
  }
  return new DaemonCluster(entries);
}
