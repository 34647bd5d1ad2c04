/** Writes the settings and secrets of the daemons of a test deployment. */
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { findFreePort } from "../testing/free_port.ts";
import type { RelayedNetwork } from "./relayed_network.ts";

const PEER_SECRET = "secret-of-the-test-deployment";

/** Configuration of an entry of a test deployment. */
export interface EntryPlan {
  readonly entryId: string;
  readonly zone: string;
  readonly voter: boolean;
  readonly httpPort: number;
  readonly peerPort: number;
  /** URL of the entry's HTTP interface. */
  readonly url: string;
  /** Working folder of the daemon. */
  readonly folder: string;
  readonly settingsFile: string;
}

/** Options of {@link planEntries}. */
export interface PlanOptions {
  readonly folder: string;
  readonly entryCount: number;
  readonly voterCount: number;
  readonly zoneCount: number;
}

/** Files that all entries share. */
export interface SharedFiles {
  readonly operatorKeyFile: string;
  readonly peerSecretFile: string;
}

/**
 * Plans entries that are spread over zones and use free ports; voters come
 * first.
 *
 * @param options - Folder and counts.
 * @returns One plan for each entry.
 */
export async function planEntries(options: PlanOptions): Promise<EntryPlan[]> {
  const { folder, entryCount, voterCount, zoneCount } = options;
  const ports = await findFreePorts(entryCount * 2);
  return Array.from({ length: entryCount }, (_, at) => {
    const entryId = `entry-${at + 1}`;
    const httpPort = ports[at * 2] ?? 0;
    return {
      entryId,
      zone: `zone-${at % zoneCount + 1}`,
      voter: at < voterCount,
      httpPort,
      peerPort: ports[at * 2 + 1] ?? 0,
      url: `http://127.0.0.1:${httpPort}`,
      folder: join(folder, entryId),
      settingsFile: join(folder, entryId, "entry.jsonc"),
    };
  });
}

/**
 * Writes the operator key and the peer secret.
 *
 * @param folder - Folder of the deployment.
 * @param operatorKey - The operator key.
 * @returns Paths of the files.
 */
export async function writeSharedFiles(
  folder: string,
  operatorKey: string,
): Promise<SharedFiles> {
  const operatorKeyFile = join(folder, "operator.key");
  const peerSecretFile = join(folder, "peer.secret");
  await writeFile(operatorKeyFile, `${operatorKey}\n`);
  await writeFile(peerSecretFile, `${PEER_SECRET}\n`);
  return { operatorKeyFile, peerSecretFile };
}

/** Options of {@link writeSettings}. */
export interface WriteSettingsOptions {
  readonly plans: readonly EntryPlan[];
  readonly network: RelayedNetwork;
  readonly shared: SharedFiles;
  /** Settings that override those of the deployment. */
  readonly extraSettings: Readonly<Record<string, unknown>>;
}

/**
 * Writes the settings file of each entry, with the relays as addresses of its
 * peers.
 *
 * @param options - Plans, network, shared files and further settings.
 */
export async function writeSettings(
  options: WriteSettingsOptions,
): Promise<void> {
  for (const plan of options.plans) {
    await mkdir(plan.folder, { recursive: true });
    const settings = createSettings(plan, options);
    await writeFile(plan.settingsFile, JSON.stringify(settings, undefined, 2));
  }
}

function createSettings(
  plan: EntryPlan,
  { plans, network, shared, extraSettings }: WriteSettingsOptions,
): unknown {
  const others = plans.filter(({ entryId }) => entryId !== plan.entryId);
  return {
    entryId: plan.entryId,
    zone: plan.zone,
    voter: plan.voter,
    dataFolder: plan.voter ? "data" : null,
    http: { port: plan.httpPort },
    peer: { port: plan.peerPort },
    operatorKeyFile: shared.operatorKeyFile,
    peerSecretFile: others.length > 0 ? shared.peerSecretFile : null,
    peers: others.map(({ entryId, zone, voter }) => ({
      entryId,
      host: "127.0.0.1",
      port: network.findPort(plan.entryId, entryId),
      zone,
      voter,
    })),
    logLevel: "warn",
    ...extraSettings,
  };
}

async function findFreePorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    ports.add(await findFreePort());
  }
  return [...ports];
}
