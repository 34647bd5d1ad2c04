/** The request path of one entry, composed over fakes. */
import { SeededRandom } from "../adapters/random/index.ts";
import { ShaSecrets } from "../adapters/secrets/index.ts";
import {
  FleetIndexCache,
  FractionRetryBudget,
  type HealthPolicy,
  LabelAdmissionPolicy,
  OutlierHealthPolicy,
  type OverloadPolicy,
  type RetryBudget,
  TwoChoicesPicker,
  WaitTimePolicy,
} from "../decisions/index.ts";
import { type CallerRequest, type Resource } from "../domain/index.ts";
import type { BackendClient } from "../ports/index.ts";
import {
  AttemptRunner,
  BackendDirectory,
  BackendHealth,
  BodyLoader,
  ClaimService,
  DecisionRecorder,
  GuardedPermitSource,
  OutcomeRecorder,
  type PermitSource,
  RequestHistory,
  RequestService,
} from "../services/index.ts";
import { TaskGroup } from "../tasks/index.ts";
import type { FakeAgreement } from "./fake_agreement.ts";
import type { FakeClock } from "./fake_clock.ts";
import { FakePermitSource } from "./fake_permits.ts";
import { FakeLogger, FakeMetrics } from "./fake_ports.ts";

const ANNOUNCE_MS = 1_000;
const DEADLINE_MS = 10_000;
const SERVER_COUNT = 4;
const SLOT_COUNT = 8;

/** Options of {@link createFakeEntry}. */
export interface FakeEntryOptions {
  readonly entryId?: string;
  readonly clock: FakeClock;
  readonly agreement: FakeAgreement;
  readonly client: BackendClient;
  readonly seed?: number;
  /** Number of backend servers; each runs on a VM of its own. */
  readonly serverCount?: number;
  /** Number of slots of each backend server. */
  readonly slotCount?: number;
  readonly budget?: RetryBudget;
  readonly overload?: OverloadPolicy;
  readonly health?: HealthPolicy;
  readonly maxBatchCount?: number;
  /** Grants the permits; a {@link FakePermitSource} by default. */
  readonly permits?: PermitSource;
}

/** A composed entry and the parts of it that tests use. */
export interface FakeEntry {
  readonly requests: RequestService;
  readonly metrics: FakeMetrics;
  readonly claims: ClaimService;
  readonly recorder: DecisionRecorder;
  readonly directory: BackendDirectory;
  readonly permits: GuardedPermitSource;
  readonly tasks: TaskGroup;
  /** Creates a request of `team-1` to `queue-1`. */
  createRequest(parts?: Partial<CallerRequest>): CallerRequest;
}

/** Two teams, one queue, and one pool with six VMs. */
export const FAKE_FLEET: readonly Resource[] = createFleet();

/**
 * Applies a change that puts {@link FAKE_FLEET}.
 *
 * @param agreement - Agreement whose state is changed.
 */
export function declareFakeFleet(agreement: FakeAgreement): void {
  agreement.state.apply({
    type: "change",
    operator: "test",
    atMs: 0,
    change: {
      operationId: "fleet",
      expectedRevision: agreement.state.revision,
      puts: [...FAKE_FLEET],
      deletes: [],
    },
  });
}

/**
 * Creates an entry over fakes; its tasks run until `tasks.stop()`.
 *
 * @param options - Clock, agreement, backend client and policies.
 * @returns The entry.
 */
export function createFakeEntry(options: FakeEntryOptions): FakeEntry {
  const { clock, agreement, client, entryId = "entry-1" } = options;
  const logger = new FakeLogger();
  const metrics = new FakeMetrics();
  const secrets = new ShaSecrets();
  const random = new SeededRandom(options.seed ?? 1);
  const tasks = new TaskGroup({ clock, logger });
  const fleet = new FleetIndexCache(() => agreement.state);
  const base = { clock, agreement, logger, metrics, fleet, entryId };
  const directory = new BackendDirectory(clock);
  const recorder = new DecisionRecorder({ ...base, runId: "run" });
  const claims = new ClaimService({
    ...base,
    ...(options.maxBatchCount === undefined
      ? {}
      : { maxBatchCount: options.maxBatchCount }),
  });
  const history = new RequestHistory();
  const outcomes = new OutcomeRecorder({ ...base, recorder, history });
  const permits = new GuardedPermitSource({
    clock,
    policy: options.overload ?? new WaitTimePolicy(),
    permits: options.permits ?? new FakePermitSource({
      ...base,
      directory,
      random,
      picker: new TwoChoicesPicker(random),
    }),
  });
  const health = new BackendHealth({
    ...base,
    directory,
    recorder,
    policy: options.health ?? new OutlierHealthPolicy(),
  });
  const attempts = new AttemptRunner({
    entryCount: 1,
    ...base,
    client,
    outcomes,
    permits,
    health,
    budget: options.budget ?? new FractionRetryBudget(),
    signal: tasks.signal,
  });
  const requests = new RequestService({
    ...base,
    secrets,
    attempts,
    claims,
    outcomes,
    admission: new LabelAdmissionPolicy(secrets),
    bodies: new BodyLoader({ clock }),
  });
  tasks.start("claims", (signal) => claims.run(signal));
  tasks.start("announcements", async (signal) => {
    for (let sequence = 0; !signal.aborted; sequence += 1) {
      announceAll(directory, sequence, options);
      await clock.sleep(ANNOUNCE_MS, signal);
    }
  });
  const createRequest = (parts: Partial<CallerRequest> = {}) => ({
    requestId: random.nextId(),
    queueName: "queue-1",
    secret: "secret-1",
    method: "POST",
    path: "/work",
    headers: {},
    body: undefined,
    bodySizeBytes: undefined,
    deadlineAtMs: clock.monotonicMs() + DEADLINE_MS,
    idempotencyKey: undefined,
    idempotent: false,
    signal: new AbortController().signal,
    ...parts,
  });
  return {
    requests,
    metrics,
    claims,
    recorder,
    directory,
    permits,
    tasks,
    createRequest,
  };
}

function announceAll(
  directory: BackendDirectory,
  sequence: number,
  options: FakeEntryOptions,
): void {
  const serverCount = options.serverCount ?? SERVER_COUNT;
  for (let server = 1; server <= serverCount; server += 1) {
    directory.accept({
      backendServerId: `server-${server}`,
      sequence,
      vm: `vm-${server}`,
      host: "127.0.0.1",
      port: server,
      slotCount: options.slotCount ?? SLOT_COUNT,
      connectionCount: 64,
      leaving: false,
      running: [],
    });
  }
}

function createFleet(): Resource[] {
  const secrets = new ShaSecrets();
  const teams = [1, 2].flatMap((at): Resource[] => [
    {
      kind: "team",
      name: `team-${at}`,
      labels: { may: "run" },
      share: 1,
      maxRunningCount: 64,
    },
    {
      kind: "key",
      name: `key-${at}`,
      labels: {},
      role: "team",
      team: `team-${at}`,
      digest: secrets.digest(`secret-${at}`),
      withdrawn: false,
    },
  ]);
  const vms = [1, 2, 3, 4, 5, 6].map((at): Resource => ({
    kind: "vm",
    name: `vm-${at}`,
    labels: { pool: "pool-1" },
    zone: "zone-1",
    rack: "rack-1",
  }));
  return [
    { kind: "zone", name: "zone-1", labels: {}, region: "region-1" },
    ...vms,
    ...teams,
    {
      kind: "pool",
      name: "pool-1",
      labels: { work: "any" },
      vmSelector: { pool: ["pool-1"] },
      spare: false,
      budgets: [],
    },
    {
      kind: "queue",
      name: "queue-1",
      labels: { may: "run" },
      poolSelector: { work: ["any"] },
      openToAll: false,
      priority: 0,
      maxWaitMs: 2_000,
      maxRunMs: 5_000,
    },
    {
      kind: "binding",
      name: "binding-1",
      labels: {},
      teamSelector: { may: ["run"] },
      queueSelector: { may: ["run"] },
    },
  ];
}
