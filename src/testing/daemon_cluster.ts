/** Runs several daemon processes that are configured as peers of each other. */
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
  /** Folder that contains a working folder for each daemon. */
  readonly folder: string;
  readonly voterCount: number;
  /** Number of entries without a data folder. */
  readonly observerCount: number;
}

/** An entry of the cluster, and its daemon if it runs. */
export interface ClusterEntry extends DaemonOptions {
  readonly entryId: string;
  daemon: DaemonProcess | undefined;
}

/** Daemon processes that share one operator key. */
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

  /** Kills all daemons. */
  async kill(): Promise<void> {
    for (const entry of this.entries) {
      await entry.daemon?.kill();
      entry.daemon = undefined;
    }
  }

  /**
   * Sends a request to the operator API of an entry.
   *
   * @param url - URL of the entry.
   * @param path - Path of the request.
   * @param body - Sent as JSON with POST; without a body the method is GET.
   * @returns HTTP status and parsed body.
   */
  async call(
    url: string,
    path: string,
    body?: unknown,
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    const response = await request(`${url}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
      body: body === undefined ? null : JSON.stringify(body),
    });
    const parsed = await response.body.json() as Record<string, unknown>;
    return { status: response.statusCode, body: parsed };
  }

  /**
   * Applies a change that puts one zone.
   *
   * @param url - URL of the entry.
   * @param name - Name of the zone; part of the operation id too.
   * @param expectedRevision - Revision that the change expects.
   * @returns HTTP status and parsed body.
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
 * Writes the settings of several daemons without starting them.
 *
 * @param options - Folder and numbers of entries.
 * @returns The cluster.
 */
export async function createDaemonCluster(
  options: DaemonClusterOptions,
): Promise<DaemonCluster> {
  const { folder, voterCount, observerCount } = options;
  const secretFile = join(folder, "peer.secret");
  const operatorKeyFile = join(folder, "operator.key");
  await writeFile(secretFile, SECRET);
  await writeFile(operatorKeyFile, OPERATOR_KEY);
  const plans = [];
  for (let number = 1; number <= voterCount + observerCount; number += 1) {
    plans.push({
      entryId: `entry-${number}`,
      zone: `zone-${1 + number % 3}`,
      voter: number <= voterCount,
      httpPort: await findFreePort(),
      host: "127.0.0.1",
      port: await findFreePort(),
    });
  }
  const entries: ClusterEntry[] = [];
  for (const { entryId, zone, voter, httpPort, host, port } of plans) {
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
      peers: plans.filter((other) => other.entryId !== entryId).map((
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
