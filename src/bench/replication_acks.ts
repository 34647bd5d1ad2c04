/**
 * Measures how one slow voter delays commits under each commit rule, and the
 * control traffic of idle entries. Run it with
 * `node dist/bench/replication_acks.js`.
 *
 * All replicas run in one process, with files on disk and TCP on the loopback
 * interface.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import { SystemClock } from "../adapters/clock/index.ts";
import {
  FileLogStore,
  MemoryLogStore,
  NodeFileSystem,
} from "../adapters/disk/index.ts";
import { TcpPeerNetwork } from "../adapters/peer/index.ts";
import { SeededRandom } from "../adapters/random/index.ts";
import type { LogEntry, LogStore } from "../ports/index.ts";
import {
  AllInSyncCommitRule,
  type CommitRule,
  MajorityCommitRule,
  Replica,
} from "../replication/index.ts";
import { TaskGroup } from "../tasks/index.ts";
import {
  createChange,
  FakeLogger,
  FakeMetrics,
  findFreePort,
} from "../testing/index.ts";

const HOST = "127.0.0.1";
const SECRET = "a-secret-that-only-the-bench-uses";
const CHANGE_COUNT = 200;
const IDLE_MS = 10_000;
const MAX_LAG_MS = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const POLL_INTERVAL_MS = 20;
/** Delays of the disk sync of one voter that is not the leader, in milliseconds. */
const SLOW_SYNC_MS = [0, 20, 200];

const clock = new SystemClock();

interface ReplicaNode {
  readonly entryId: string;
  readonly replica: Replica;
  readonly metrics: FakeMetrics;
}

interface DeploymentOptions {
  readonly folder: string;
  readonly voterCount: number;
  readonly observerCount: number;
  readonly rule: CommitRule;
  readonly slowSyncMs: number;
}

interface Deployment {
  readonly nodes: readonly ReplicaNode[];
  readonly leader: ReplicaNode;
  readonly tasks: TaskGroup;
}

async function createStore(
  options: DeploymentOptions,
  nodeIndex: number,
): Promise<LogStore> {
  const random = SeededRandom.withRandomSeed();
  if (nodeIndex >= options.voterCount) {
    return new MemoryLogStore(random);
  }
  const store = new FileLogStore({
    files: await NodeFileSystem.load(
      join(options.folder, `entry-${nodeIndex}`),
    ),
    logger: new FakeLogger(),
    random,
    onSyncFailure: ({ message }) => {
      throw new Error(message);
    },
  });
  const isSlow = nodeIndex === options.voterCount - 1;
  if (isSlow && options.slowSyncMs > 0) {
    const append = store.append.bind(store);
    store.append = async (entries: readonly LogEntry[]) => {
      await sleep(options.slowSyncMs);
      return await append(entries);
    };
  }
  return store;
}

async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const tasks = new TaskGroup({ clock, logger: new FakeLogger() });
  const count = options.voterCount + options.observerCount;
  const addresses: { entryId: string; host: string; port: number }[] = [];
  for (let nodeIndex = 0; nodeIndex < count; nodeIndex += 1) {
    const port = await findFreePort();
    addresses.push({ entryId: `entry-${nodeIndex}`, host: HOST, port });
  }
  const ids = addresses.map(({ entryId }) => entryId);
  const nodes: ReplicaNode[] = [];
  for (const [nodeIndex, ownAddress] of addresses.entries()) {
    const { entryId } = ownAddress;
    const peers = addresses.filter((other) => other !== ownAddress);
    const metrics = new FakeMetrics();
    const logger = new FakeLogger();
    const base = { entryId, clock, logger, metrics, tasks };
    const network = new TcpPeerNetwork({
      ...base,
      ...ownAddress,
      secret: SECRET,
      peers,
    });
    const loaded = await Replica.load({
      ...base,
      hasDisk: nodeIndex < options.voterCount,
      wantsVote: nodeIndex < options.voterCount,
      peerIds: peers.map((peer) => peer.entryId),
      initialVoterIds: ids.slice(0, options.voterCount),
      commitRule: options.rule,
      store: await createStore(options, nodeIndex),
      network,
      random: SeededRandom.withRandomSeed(),
    });
    if (loaded.isErr) {
      throw new Error(loaded.error.message);
    }
    loaded.value.start(tasks);
    await network.start();
    nodes.push({ entryId, replica: loaded.value, metrics });
  }
  return { nodes, leader: await findLeader(nodes), tasks };
}

async function findLeader(nodes: readonly ReplicaNode[]): Promise<ReplicaNode> {
  for (;;) {
    const leader = nodes.find(({ replica }) =>
      replica.status().leaderSinceMs !== undefined
    );
    if (leader !== undefined) {
      return leader;
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

async function measureCommits(
  rule: CommitRule,
  slowSyncMs: number,
): Promise<{ p50Ms: number; p99Ms: number; maxMs: number }> {
  const folder = await mkdtemp(join(tmpdir(), "cardamomsill-acks-"));
  const counts = { voterCount: 3, observerCount: 0 };
  const options = { folder, ...counts, rule, slowSyncMs };
  const { leader, tasks } = await startDeployment(options);
  const histogram = build();
  for (let changeIndex = 0; changeIndex < CHANGE_COUNT; changeIndex += 1) {
    const startedMs = clock.monotonicMs();
    const change = createChange({ name: `zone-${changeIndex}` }, changeIndex);
    const proposed = await leader.replica.propose(change);
    if (proposed.isErr) {
      throw new Error(proposed.error.message);
    }
    const tookMs = clock.monotonicMs() - startedMs;
    histogram.recordValue(Math.round(tookMs * MICROSECONDS_PER_MS));
  }
  await tasks.stop();
  await rm(folder, { recursive: true });
  const read = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return { p50Ms: read(50), p99Ms: read(99), maxMs: read(100) };
}

async function measureIdleTraffic(): Promise<Record<string, number>> {
  const folder = await mkdtemp(join(tmpdir(), "cardamomsill-acks-"));
  const counts = { voterCount: 3, observerCount: 6 };
  const rule = new MajorityCommitRule();
  const options = { folder, ...counts, rule, slowSyncMs: 0 };
  const { nodes, leader, tasks } = await startDeployment(options);
  await sleep(IDLE_MS);
  const before = nodes.map(countBytes);
  await sleep(IDLE_MS);
  const rates = nodes.map((node, index) =>
    (countBytes(node) - (before[index] ?? 0)) * 1_000 / IDLE_MS
  );
  await tasks.stop();
  await rm(folder, { recursive: true });
  const leaderIndex = nodes.indexOf(leader);
  const others = rates.filter((_, index) => index !== leaderIndex);
  return {
    entryCount: nodes.length,
    leaderBytesPerSecond: Math.round(rates[leaderIndex] ?? 0),
    maxFollowerBytesPerSecond: Math.round(Math.max(...others)),
  };
}

function countBytes({ metrics }: ReplicaNode): number {
  return metrics.sentBytes + metrics.receivedBytes;
}

async function main(): Promise<void> {
  const commits = [];
  for (const slowSyncMs of SLOW_SYNC_MS) {
    const majority = await measureCommits(new MajorityCommitRule(), slowSyncMs);
    const rule = new AllInSyncCommitRule(MAX_LAG_MS);
    const allInSync = await measureCommits(rule, slowSyncMs);
    commits.push({ slowSyncMs, majority, allInSync });
  }
  const idle = await measureIdleTraffic();
  process.stdout.write(
    `${JSON.stringify({ changeCount: CHANGE_COUNT, commits, idle })}\n`,
  );
}

await main();
