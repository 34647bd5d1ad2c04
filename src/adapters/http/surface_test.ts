import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  ERROR_TABLE,
  type ErrorKind,
  errorKindSchema,
} from "../../domain/index.ts";
import { afterEach, beforeEach, describe, it } from "../../testing/describe.ts";
import {
  type EntryFixture,
  startEntryFixture,
} from "../../testing/entry_fixture.ts";

const errorBodySchema = v.object({
  error: v.looseObject({
    kind: errorKindSchema,
    message: v.string(),
    notRun: v.boolean(),
  }),
});
const acceptedSchema = v.looseObject({ revision: v.number() });
const createdKeySchema = v.looseObject({ secret: v.string() });

const CHANGES = { method: "POST", path: "/v1/changes" };
const TEAM = { kind: "team", name: "team-a", maxRunningCount: 1 };

interface BadCall {
  readonly title: string;
  readonly kind: ErrorKind;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  /** The key that the request presents; the operator's by default. */
  readonly presentedKey?: "nothing" | "rubbish" | "teamKey";
}

const BAD_CALLS: readonly BadCall[] = [
  {
    title: "no key",
    kind: "unauthenticated",
    ...CHANGES,
    body: "{}",
    presentedKey: "nothing",
  },
  {
    title: "an unknown key",
    kind: "unauthenticated",
    ...CHANGES,
    body: "{}",
    presentedKey: "rubbish",
  },
  {
    title: "a team's key",
    kind: "forbidden",
    ...CHANGES,
    body: "{}",
    presentedKey: "teamKey",
  },
  { title: "broken JSON", kind: "invalidInput", ...CHANGES, body: "{" },
  { title: "an empty body", kind: "invalidInput", ...CHANGES },
  {
    title: "an unknown field",
    kind: "invalidInput",
    ...CHANGES,
    body: createChange({ puts: [{ ...TEAM, colour: "red" }] }),
  },
  {
    title: "an unknown kind of resource",
    kind: "invalidInput",
    ...CHANGES,
    body: createChange({ puts: [{ kind: "boat", name: "a" }] }),
  },
  {
    title: "a name with capitals",
    kind: "invalidInput",
    ...CHANGES,
    body: createChange({ puts: [{ ...TEAM, name: "Team" }] }),
  },
  {
    title: "a negative limit",
    kind: "invalidInput",
    ...CHANGES,
    body: createChange({ puts: [{ ...TEAM, maxRunningCount: -1 }] }),
  },
  {
    title: "a revision that is not the current one",
    kind: "conflict",
    ...CHANGES,
    body: createChange({ puts: [TEAM], expectedRevision: 700 }),
  },
  {
    title: "no operation id",
    kind: "invalidInput",
    ...CHANGES,
    body: JSON.stringify({ expectedRevision: 0, puts: [] }),
  },
  {
    title: "an oversize body",
    kind: "bodyTooLarge",
    ...CHANGES,
    body: "x".repeat(1_100_000),
  },
  {
    title: "a wrong method",
    kind: "methodNotAllowed",
    method: "DELETE",
    path: "/v1/changes",
  },
  {
    title: "an unknown path",
    kind: "notFound",
    method: "GET",
    path: "/v1/boats",
  },
  {
    title: "an unknown kind",
    kind: "unknownKind",
    method: "GET",
    path: "/v1/resources/boat",
  },
  {
    title: "an unknown name",
    kind: "notFound",
    method: "GET",
    path: "/v1/resources/team/none",
  },
  {
    title: "an unknown decision",
    kind: "notFound",
    method: "GET",
    path: "/v1/explain/decision/none",
  },
  {
    title: "a key without a name",
    kind: "invalidInput",
    method: "POST",
    path: "/v1/keys",
    body: `{ "role": "team" }`,
  },
  {
    title: "an announcement without an address",
    kind: "invalidInput",
    method: "POST",
    path: "/v1/announcements",
    body: `{ "backendServerId": "b" }`,
  },
  {
    title: "a request to an unknown queue",
    kind: "notFound",
    method: "POST",
    path: "/q/none/x",
    presentedKey: "nothing",
  },
];

function createChange(parts: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({
    operationId: "operation-1",
    expectedRevision: 1,
    ...parts,
  });
}

describe("HTTP API", () => {
  let entry: EntryFixture;
  let teamKey = "";
  beforeEach(async () => {
    entry = await startEntryFixture();
    await put(TEAM, 0);
    const created = await entry.send({
      method: "POST",
      path: "/v1/keys",
      key: entry.operatorKey,
      body: JSON.stringify({
        name: "key-a",
        role: "team",
        team: "team-a",
        operationId: "operation-key",
        expectedRevision: 1,
      }),
    });
    teamKey = v.parse(createdKeySchema, created.value).secret;
  });
  afterEach(() => entry.stop());

  async function put(
    resource: unknown,
    expectedRevision: number,
  ): Promise<number> {
    const answer = await entry.send({
      method: "POST",
      path: "/v1/changes",
      key: entry.operatorKey,
      body: JSON.stringify({
        operationId: `operation-${expectedRevision}`,
        expectedRevision,
        puts: [resource],
      }),
    });
    return v.parse(acceptedSchema, answer.value).revision;
  }

  async function readRevision(): Promise<number> {
    const answer = await entry.send({
      method: "GET",
      path: "/v1/status",
      key: entry.operatorKey,
    });
    return v.parse(acceptedSchema, answer.value).revision;
  }

  describe("bad input", () => {
    for (
      const { title, kind, method, path, body, presentedKey } of BAD_CALLS
    ) {
      it(`rejects ${title} as the error table says and changes nothing`, async () => {
        const keys = { nothing: undefined, rubbish: "rubbish", teamKey };
        const key = presentedKey === undefined
          ? entry.operatorKey
          : keys[presentedKey];
        const before = await readRevision();
        const answer = await entry.send({ method, path, key, body });
        const { error } = v.parse(errorBodySchema, answer.value);
        assert.is(error.kind, kind, answer.text);
        assert.is(answer.status, ERROR_TABLE[kind].httpStatus);
        assert.is(error.notRun, ERROR_TABLE[kind].notRun);
        assert.is(await readRevision(), before);
      });
    }
  });

  describe("concurrent changes", () => {
    it("accepts one of two writes for the same revision and tells which one won", async () => {
      const bodies = ["operation-left", "operation-right"].map((
        operationId,
        at,
      ) =>
        createChange({
          operationId,
          expectedRevision: 2,
          puts: [{ ...TEAM, maxRunningCount: at + 5 }],
        })
      );
      const answers = await Promise.all(
        bodies.map((body) =>
          entry.send({ ...CHANGES, key: entry.operatorKey, body })
        ),
      );
      const statuses = answers.map(({ status }) => status).sort();
      assert.equal(statuses, [200, 409]);
      const refused = answers.find(({ status }) => status === 409);
      assert.match(
        refused?.text ?? "",
        /"won":\[\{"resource":\{"kind":"team","name":"team-a"/,
      );
    });

    it("gives a resend the first response, and refuses other content", async () => {
      const body = createChange({ expectedRevision: 2, puts: [TEAM] });
      const first = await entry.send({
        ...CHANGES,
        key: entry.operatorKey,
        body,
      });
      await put({ ...TEAM, name: "team-b" }, 3);
      const again = await entry.send({
        ...CHANGES,
        key: entry.operatorKey,
        body,
      });
      assert.equal(again.value, first.value);
      const other = createChange({
        expectedRevision: 2,
        puts: [{ ...TEAM, share: 9 }],
      });
      const refused = await entry.send({
        ...CHANGES,
        key: entry.operatorKey,
        body: other,
      });
      assert.is(
        v.parse(errorBodySchema, refused.value).error.kind,
        "operationIdReused",
      );
    });
  });

  describe("secrets", () => {
    it("shows the secret of a key once and stores only its digest", async () => {
      const listed = await entry.send({
        method: "GET",
        path: "/v1/resources/key",
        key: entry.operatorKey,
      });
      assert.not.ok(listed.text.includes(teamKey));
      assert.match(listed.text, /"digest":"[0-9a-f]{64}"/);
    });

    it("logs neither the key of a team nor that of an operator", async () => {
      await entry.send({ method: "POST", path: "/q/none/x", key: teamKey });
      const lines = JSON.stringify(entry.logger.lines);
      assert.not.ok(lines.includes(teamKey));
      assert.not.ok(lines.includes(entry.operatorKey));
    });
  });

  describe("logs", () => {
    it("contain the request id, decision id and revision of a refusal", async () => {
      const answer = await entry.send({
        method: "POST",
        path: "/q/none/x",
        key: teamKey,
      });
      const line = entry.logger.lines.find(({ message }) =>
        message === "request refused"
      );
      assert.equal(line?.fields, {
        requestId: answer.headers["cardamomsill-request-id"],
        decisionId: answer.headers["cardamomsill-decision-id"],
        revision: 2,
        kind: "notFound",
      });
    });
  });

  describe("health checks and metrics", () => {
    it("answers /healthz, /readyz and /metrics without a key", async () => {
      await entry.waitUntilReady();
      for (const path of ["/healthz", "/readyz", "/metrics"]) {
        const answer = await entry.send({ method: "GET", path });
        assert.is(answer.status, 200, path);
      }
    });

    it("has a histogram for each team and queue that was used", async () => {
      await put({ kind: "queue", name: "queue-a", poolSelector: {} }, 2);
      await entry.send({ method: "POST", path: "/q/queue-a/x", key: teamKey });
      const metrics = await entry.send({ method: "GET", path: "/metrics" });
      assert.match(
        metrics.text,
        /cardamomsill_request_wait_seconds_bucket\{[^}]*team="team-a",queue="queue-a"/,
      );
    });
  });
});
