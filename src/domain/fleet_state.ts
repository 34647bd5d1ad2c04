/** The durable state, built by applying the commands of the replicated log. */
import { Result } from "true-myth";
import { findAssignmentConflict } from "./assignment.ts";
import { AuditTrail } from "./audit_trail.ts";
import type { Change, ResourceRef } from "./change.ts";
import { ClaimTable } from "./claim_table.ts";
import type { Claim, Command, VmAssignment } from "./command.ts";
import type { DecisionRecord } from "./decision_record.ts";
import { createFailure, type Failure } from "./errors.ts";
import {
  type Applied,
  type FleetSnapshot,
  type StoredResource,
} from "./fleet_snapshot.ts";
import { type Membership, NO_MEMBERSHIP } from "./membership.ts";
import { OperationTable } from "./operation_table.ts";
import {
  RESOURCE_KINDS,
  type ResourceKind,
  type ResourceOf,
} from "./resources/index.ts";
import { SchedulingState } from "./scheduling/index.ts";

/**
 * The durable state of the deployment. Applying the same commands yields the
 * same state on every entry.
 */
export class FleetState {
  #revision = 0;
  #placementVersion = 0;
  readonly #resources = new Map<ResourceKind, Map<string, StoredResource>>();
  readonly #operations = new OperationTable();
  readonly #trail = new AuditTrail();
  readonly #assignments = new Map<string, VmAssignment>();
  readonly #claims = new ClaimTable();
  #membership: Membership = NO_MEMBERSHIP;
  #scheduling = new SchedulingState();

  constructor() {
    for (const kind of RESOURCE_KINDS) {
      this.#resources.set(kind, new Map());
    }
  }

  /** Revision of the configuration: the number of accepted changes. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Counter that increases with every change of resources or assignments.
   * Indexes compare it to detect that they must be rebuilt.
   */
  get placementVersion(): number {
    return this.#placementVersion;
  }

  /** Voters and learners; both are empty before the first membership command. */
  get membership(): Membership {
    return this.#membership;
  }

  /** Jobs, runs, runners, the catalog and waves. */
  get scheduling(): SchedulingState {
    return this.#scheduling;
  }

  /**
   * Finds a declared resource.
   *
   * @param kind - Kind of the resource.
   * @param name - Name of the resource.
   * @returns The resource with the change that set it, or undefined.
   */
  find<K extends ResourceKind>(
    kind: K,
    name: string,
  ): StoredResource<ResourceOf<K>> | undefined {
    return this.#resources.get(kind)?.get(name) as
      | StoredResource<ResourceOf<K>>
      | undefined;
  }

  /**
   * Lists the declared resources of one kind.
   *
   * @param kind - Kind of the resources.
   * @returns The resources in the order in which they were first declared.
   */
  list<K extends ResourceKind>(kind: K): StoredResource<ResourceOf<K>>[] {
    const byName = this.#resources.get(kind) ??
      new Map<string, StoredResource>();
    return [...byName.values()] as StoredResource<ResourceOf<K>>[];
  }

  /**
   * Lists the audit trail.
   *
   * @returns The stored decision records, oldest first.
   */
  listRecords(): DecisionRecord[] {
    return this.#trail.list();
  }

  /**
   * Finds the assignment of a VM.
   *
   * @param vm - Name of the VM.
   * @returns Its pool and the step that it is in, or undefined.
   */
  findAssignment(vm: string): VmAssignment | undefined {
    return this.#assignments.get(vm);
  }

  /**
   * Lists the assignments of all VMs.
   *
   * @returns One assignment for each VM that has ever been assigned.
   */
  listAssignments(): VmAssignment[] {
    return [...this.#assignments.values()];
  }

  /**
   * Finds a claim on an idempotency key.
   *
   * @param claimId - Team, queue and key of the claim.
   * @returns The claim, or undefined when it is not stored.
   */
  findClaim(claimId: string): Claim | undefined {
    return this.#claims.find(claimId);
  }

  /**
   * Applies one command of the log.
   *
   * @param command - The committed command.
   * @returns The value, or `conflict` or `operationIdReused`. Every entry gets
   * the same result.
   */
  apply(command: Command): Applied {
    switch (command.type) {
      case "change":
        return this.#applyChange(
          command.change,
          command.operator,
          command.atMs,
        );
      case "record":
        command.records.forEach((record) => this.#trail.put(record));
        return this.#done();
      case "assign":
        return this.#applyAssignment(command);
      case "claim":
        return Result.ok({
          revision: this.#revision,
          claims: this.#claims.apply(command.claims),
        });
      case "membership":
        this.#membership = {
          voters: command.voters,
          learners: command.learners,
        };
        return this.#done();
      case "scheduling":
        this.#scheduling.apply(command);
        return this.#done();
      case "leader":
        return this.#done();
    }
  }

  /**
   * Copies the whole state for a snapshot.
   *
   * @returns Plain values for {@link FleetState.restore}.
   */
  toSnapshot(): FleetSnapshot {
    return {
      revision: this.#revision,
      resources: RESOURCE_KINDS.flatMap((kind) => this.list(kind)),
      operations: this.#operations.list(),
      records: this.listRecords(),
      assignments: this.listAssignments(),
      claims: this.#claims.list(),
      newestClaimAtMs: this.#claims.newestAtMs,
      membership: this.#membership,
      scheduling: this.#scheduling.toItems(),
    };
  }

  /**
   * Builds a state from a snapshot.
   *
   * @param snapshot - Plain values from {@link FleetState.toSnapshot}.
   * @returns A state equal to the one that was copied.
   */
  static restore(snapshot: FleetSnapshot): FleetState {
    const state = new FleetState();
    state.#revision = snapshot.revision;
    state.#placementVersion = snapshot.revision + snapshot.assignments.length;
    for (const stored of snapshot.resources) {
      state.#put(stored);
    }
    for (const operation of snapshot.operations) {
      state.#operations.put(operation);
    }
    for (const record of snapshot.records) {
      state.#trail.put(record);
    }
    for (const assignment of snapshot.assignments) {
      state.#assignments.set(assignment.vm, assignment);
    }
    state.#claims.restore(snapshot.claims, snapshot.newestClaimAtMs);
    state.#membership = snapshot.membership;
    state.#scheduling = SchedulingState.restore(snapshot.scheduling ?? []);
    return state;
  }

  #applyChange(change: Change, operator: string, atMs: number): Applied {
    const resent = this.#operations.answerResend(change);
    if (resent !== undefined) {
      return resent;
    }
    if (change.expectedRevision !== this.#revision) {
      return Result.err(this.#createConflict(change));
    }
    this.#revision += 1;
    this.#placementVersion += 1;
    for (const resource of change.puts) {
      this.#put({
        resource,
        revision: this.#revision,
        setBy: operator,
        setAtMs: atMs,
      });
    }
    for (const ref of change.deletes) {
      this.#resources.get(ref.kind)?.delete(ref.name);
    }
    this.#operations.record(change, this.#revision);
    return this.#done();
  }

  #createConflict(change: Change): Failure {
    const touched: ResourceRef[] = [
      ...change.puts.map(({ kind, name }) => ({ kind, name })),
      ...change.deletes,
    ];
    const won = touched
      .map(({ kind, name }) => this.find(kind, name))
      .filter((stored) => stored !== undefined)
      .filter((stored) => stored.revision > change.expectedRevision);
    return createFailure(
      "conflict",
      `the change expects revision ${change.expectedRevision}, the configuration is at ${this.#revision}`,
      {
        remedy:
          "read the resources again and resend with the current revision under a new operation id",
        detail: { currentRevision: this.#revision, won },
      },
    );
  }

  #applyAssignment(command: Extract<Command, { type: "assign" }>): Applied {
    const { assignment, record } = command;
    const current = this.#assignments.get(assignment.vm);
    if (current?.operationId === assignment.operationId) {
      return this.#done();
    }
    const conflict = findAssignmentConflict(command, this);
    if (conflict !== undefined) {
      return Result.err(conflict);
    }
    this.#assignments.set(assignment.vm, assignment);
    this.#placementVersion += 1;
    if (record !== undefined) {
      this.#trail.put(record);
    }
    return this.#done();
  }

  #put(stored: StoredResource): void {
    this.#resources.get(stored.resource.kind)?.set(
      stored.resource.name,
      stored,
    );
  }

  #done(): Applied {
    return Result.ok({ revision: this.#revision });
  }
}
