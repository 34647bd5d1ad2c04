/** Serves operators: configuration changes, keys and reading resources. */
import { Result } from "true-myth";
import {
  type AcceptedChange,
  type Change,
  changeSchema,
  createFailure,
  type Failure,
  type Key,
  type ResourceKind,
  type StoredResource,
  validateWith,
} from "../domain/index.ts";
import type { FleetIndexCache } from "../decisions/index.ts";
import type { Agreement, Clock, Secrets } from "../ports/index.ts";

/** Options of {@link OperatorService}. */
export interface OperatorServiceOptions {
  readonly agreement: Agreement;
  readonly fleet: FleetIndexCache;
  readonly secrets: Secrets;
  readonly clock: Clock;
  /** Digest of the bootstrap key, which works before any key is declared. */
  readonly bootstrapDigest: string | undefined;
}

/** An operator that was authenticated by a valid key. */
export interface Operator {
  readonly name: string;
}

/** A created key. Its secret is returned only once. */
export interface CreatedKey {
  readonly name: string;
  readonly secret: string;
  readonly revision: number;
}

/** Properties of a key to create. */
export interface NewKey {
  readonly name: string;
  readonly role: Key["role"];
  readonly team: string | undefined;
  readonly operationId: string;
  readonly expectedRevision: number;
}

/** Handles requests of operators, independently of the front end. */
export class OperatorService {
  readonly #options: OperatorServiceOptions;

  constructor(options: OperatorServiceOptions) {
    this.#options = options;
  }

  /**
   * Authenticates an operator.
   *
   * @param secret - The secret in the request, or undefined when it has none.
   * @returns The operator, `unauthenticated` without a valid key, or
   * `forbidden` with a key of a team.
   */
  authenticate(secret: string | undefined): Result<Operator, Failure> {
    if (secret === undefined) {
      return Result.err(
        createFailure("unauthenticated", "the call carries no operator key", {
          remedy: "send the key as 'authorization: Bearer KEY'",
        }),
      );
    }
    const { bootstrapDigest, fleet, secrets } = this.#options;
    const digest = secrets.digest(secret);
    if (
      bootstrapDigest !== undefined && secrets.equals(bootstrapDigest, digest)
    ) {
      return Result.ok({ name: "bootstrap" });
    }
    const key = fleet.current().findKey(digest)?.resource;
    if (key === undefined || key.withdrawn) {
      return Result.err(
        createFailure("unauthenticated", "the key is unknown or withdrawn"),
      );
    }
    if (key.role !== "operator") {
      return Result.err(
        createFailure(
          "forbidden",
          `key/${key.name} is a team's key, not an operator's`,
        ),
      );
    }
    return Result.ok({ name: `key/${key.name}` });
  }

  /**
   * Validates and applies a configuration change.
   *
   * @param operator - The operator that requests the change.
   * @param input - The change, not validated yet.
   * @returns The accepted change, or why nothing was changed.
   */
  async applyChange(
    operator: Operator,
    input: unknown,
  ): Promise<Result<AcceptedChange, Failure>> {
    const change = validateWith(changeSchema, input, { subject: "change" });
    if (change.isErr) {
      return Result.err(change.error);
    }
    return await this.#propose(operator, change.value);
  }

  /**
   * Creates a key and returns its secret. Only a digest of it is stored.
   *
   * @param operator - The operator that requests the key.
   * @param newKey - Name, role and team of the key.
   * @returns The secret, or why no key was created.
   */
  async createKey(
    operator: Operator,
    newKey: NewKey,
  ): Promise<Result<CreatedKey, Failure>> {
    const { agreement, secrets } = this.#options;
    if (agreement.state.find("key", newKey.name) !== undefined) {
      return Result.err(
        createFailure("conflict", `key/${newKey.name} exists already`, {
          remedy: "choose another name, or withdraw the old key",
        }),
      );
    }
    const secret = secrets.create();
    const key: Key = {
      kind: "key",
      name: newKey.name,
      labels: {},
      role: newKey.role,
      digest: secrets.digest(secret),
      withdrawn: false,
      ...(newKey.team === undefined ? {} : { team: newKey.team }),
    };
    const accepted = await this.#propose(operator, {
      operationId: newKey.operationId,
      expectedRevision: newKey.expectedRevision,
      puts: [key],
      deletes: [],
    });
    return accepted.map(({ revision }) => ({
      name: newKey.name,
      secret,
      revision,
    }));
  }

  /**
   * Lists the resources of a kind.
   *
   * @param kind - Kind of the resources.
   * @returns The resources; keys carry a digest, never a secret.
   */
  list(kind: ResourceKind): StoredResource[] {
    return this.#options.agreement.state.list(kind);
  }

  /**
   * Reads one resource.
   *
   * @param kind - Kind of the resource.
   * @param name - Name of the resource.
   * @returns The resource, or `notFound`.
   */
  read(kind: ResourceKind, name: string): Result<StoredResource, Failure> {
    const stored: StoredResource | undefined = this.#options.agreement.state
      .find(kind, name);
    return stored === undefined
      ? Result.err(
        createFailure("notFound", `${kind}/${name} does not exist`, {
          remedy: `list what exists with 'cardamomsill get ${kind}'`,
        }),
      )
      : Result.ok(stored);
  }

  async #propose(
    operator: Operator,
    change: Change,
  ): Promise<Result<AcceptedChange, Failure>> {
    const { agreement, clock } = this.#options;
    const proposed = await agreement.propose({
      type: "change",
      change,
      operator: operator.name,
      atMs: clock.nowMs(),
    });
    return proposed.map(({ revision }) => ({
      operationId: change.operationId,
      revision,
    }));
  }
}
