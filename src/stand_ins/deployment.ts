/**
 * A test deployment of daemon processes, a faulty network and a load balancer.
 */
import { randomBytes } from "node:crypto";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Random } from "../ports/index.ts";
import {
  type DaemonProcess,
  spawnDaemon,
  startDaemon,
  waitUntilReady,
} from "../testing/index.ts";
import { DeploymentBalancer } from "./deployment_balancer.ts";
import {
  type EntryPlan,
  planEntries,
  writeSettings,
  writeSharedFiles,
} from "./deployment_files.ts";
import { RelayedNetwork } from "./relayed_network.ts";
import { DeploymentOperator } from "./deployment_operator.ts";

const DEFAULT_ZONE_COUNT = 3;
const DEFAULT_DELAY_MS = 1.5;
const OPERATOR_KEY_BYTES = 24;

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
  readonly entryCount: number;
  /** Number of entries with a data folder, which are voters. */
  readonly voterCount: number;
  readonly random: Random;
  readonly zoneCount?: number;
  /** One-way delay between entries, in milliseconds. */
  readonly delayMs?: number;
  /** Relative weights of the entries at the load balancer. */
  readonly weights?: readonly number[];
  /** Settings of all entries that override those of the deployment. */
  readonly extraSettings?: Readonly<Record<string, unknown>>;
}

/** An entry of the deployment and its daemon process. */
export interface DeployedEntry {
  readonly plan: EntryPlan;
  daemon: DaemonProcess;
}

/** The parts that a {@link Deployment} is made of. */
interface DeploymentParts {
  readonly folder: string;
  readonly entries: DeployedEntry[];
  readonly network: RelayedNetwork;
  readonly balancer: DeploymentBalancer;
  readonly operator: DeploymentOperator;
}

/** Daemon processes with their network, load balancer and operator. */
export class Deployment {
  readonly entries: readonly DeployedEntry[];
  readonly network: RelayedNetwork;
  readonly balancer: DeploymentBalancer;
  readonly operator: DeploymentOperator;
  readonly #folder: string;

  constructor(parts: DeploymentParts) {
    this.entries = parts.entries;
    this.network = parts.network;
    this.balancer = parts.balancer;
    this.operator = parts.operator;
    this.#folder = parts.folder;
  }

  /**
   * Finds an entry.
   *
   * @param entryId - Id of the entry.
   * @returns The entry.
   * @throws Error when it does not exist.
   */
  find(entryId: string): DeployedEntry {
    const found = this.entries.find(({ plan }) => plan.entryId === entryId);
    if (found === undefined) {
      throw new Error(`entry ${entryId} does not exist in the deployment`);
    }
    return found;
  }

  /**
   * Finds the leader by the status of the entries.
   *
   * @returns The entry that most entries report as the leader.
   * @throws Error when no entry reports one.
   */
  async findLeader(): Promise<DeployedEntry> {
    const leaderId = await this.operator.findLeaderId();
    return this.find(leaderId);
  }

  /**
   * Restarts an entry whose process has ended, and waits until it is ready.
   *
   * @param entry - The entry.
   */
  async restart(entry: DeployedEntry): Promise<void> {
    entry.daemon = await startDaemon(toDaemonOptions(entry.plan));
  }

  /** Kills all processes and deletes all files. */
  async stop(): Promise<void> {
    await this.balancer.stop();
    await Promise.all(this.entries.map(({ daemon }) => daemon.kill()));
    await this.network.stop();
    await rm(this.#folder, { recursive: true, force: true });
  }
}

/**
 * Starts a deployment and waits until every entry is ready.
 *
 * @param options - Numbers of entries, delay and weights.
 * @returns The deployment.
 * @throws Error when an entry is not ready in time; the deployment is stopped.
 */
export async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const folder = await mkdtemp(join(tmpdir(), "cardamomsill-bench-"));
  const plans = await planEntries({
    folder,
    entryCount: options.entryCount,
    voterCount: options.voterCount,
    zoneCount: options.zoneCount ?? DEFAULT_ZONE_COUNT,
  });
  const network = await RelayedNetwork.start(
    plans,
    options.delayMs ?? DEFAULT_DELAY_MS,
  );
  const operatorKey = randomBytes(OPERATOR_KEY_BYTES).toString("hex");
  const shared = await writeSharedFiles(folder, operatorKey);
  const extraSettings = options.extraSettings ?? {};
  await writeSettings({ plans, network, shared, extraSettings });
  const deployment = new Deployment({
    folder,
    network,
    entries: plans.map((plan) => ({
      plan,
      daemon: spawnDaemon(toDaemonOptions(plan)),
    })),
    balancer: createBalancer(plans, options),
    operator: new DeploymentOperator({
      urls: plans.map(({ url }) => url),
      key: operatorKey,
    }),
  });
  await waitUntilServing(deployment);
  return deployment;
}

function createBalancer(
  plans: readonly EntryPlan[],
  options: DeploymentOptions,
): DeploymentBalancer {
  return new DeploymentBalancer({
    urls: plans.map(({ url }) => url),
    random: options.random,
    ...(options.weights === undefined ? {} : { weights: options.weights }),
  });
}

async function waitUntilServing(deployment: Deployment): Promise<void> {
  try {
    await Promise.all(
      deployment.entries.map(({ daemon }) => waitUntilReady(daemon)),
    );
    deployment.balancer.start();
  } catch (error) {
    await deployment.stop();
    throw error;
  }
}

function toDaemonOptions({ folder, settingsFile, url }: EntryPlan) {
  return { folder, settingsFile, url };
}
