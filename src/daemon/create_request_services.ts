/** Composes the services that handle the requests of callers. */
import { UndiciBackendClient } from "../adapters/backend/index.ts";
import {
  FractionRetryBudget,
  LabelAdmissionPolicy,
  OutlierHealthPolicy,
  WaitTimePolicy,
} from "../decisions/index.ts";
import type { BackendClient } from "../ports/index.ts";
import {
  AttemptRunner,
  BackendHealth,
  BodyLoader,
  ClaimService,
  DecisionRecorder,
  GuardedPermitSource,
  OutcomeRecorder,
  RequestHistory,
  RequestService,
} from "../services/index.ts";
import type { PermitServices } from "./create_permit_services.ts";
import type { EntryContext } from "./entry_context.ts";

const RUN_ID_LENGTH = 8;

/** The services that handle the requests of callers. */
export interface RequestServices {
  readonly recorder: DecisionRecorder;
  readonly history: RequestHistory;
  readonly client: BackendClient;
  readonly claims: ClaimService;
  readonly requests: RequestService;
}

/**
 * Creates the recorder of decisions and starts its task.
 *
 * @param context - The context of the entry.
 * @returns The recorder.
 */
export function createRecorder(context: EntryContext): DecisionRecorder {
  const runId = context.random.nextId().slice(0, RUN_ID_LENGTH);
  const recorder = new DecisionRecorder({
    ...context,
    entryId: context.settings.entryId,
    runId,
  });
  context.tasks.startForever(
    "decision recorder",
    (signal) => recorder.run(signal),
  );
  return recorder;
}

/**
 * Creates the request service and the services that it depends on.
 *
 * @param context - The context of the entry.
 * @param recorder - The recorder of decisions.
 * @param permitServices - The directory of backend servers and the permit source.
 * @returns The services, with the task of the claims started.
 */
export function createRequestServices(
  context: EntryContext,
  recorder: DecisionRecorder,
  permitServices: PermitServices,
): RequestServices {
  const { clock, secrets, settings, tasks } = context;
  const { directory } = permitServices;
  const history = new RequestHistory();
  const claims = new ClaimService(context);
  tasks.startForever("claims", (signal) => claims.run(signal));
  const client = new UndiciBackendClient();
  const outcomes = new OutcomeRecorder({ ...context, recorder, history });
  const policy = new OutlierHealthPolicy();
  const attempts = new AttemptRunner({
    ...context,
    client,
    outcomes,
    entryCount: settings.peers.length + 1,
    signal: tasks.signal,
    permits: new GuardedPermitSource({
      permits: permitServices.permits,
      policy: new WaitTimePolicy(),
      clock,
    }),
    budget: new FractionRetryBudget(),
    health: new BackendHealth({ ...context, policy, directory, recorder }),
  });
  const requests = new RequestService({
    ...context,
    entryId: settings.entryId,
    admission: new LabelAdmissionPolicy(secrets),
    bodies: new BodyLoader({ clock }),
    attempts,
    claims,
    outcomes,
  });
  return { recorder, history, client, claims, requests };
}
