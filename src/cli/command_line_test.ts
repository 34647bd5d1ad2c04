import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import * as assert from "uvu/assert";
import {
  type CommandResult,
  runCommandLine,
} from "../testing/daemon_process.ts";
import { afterEach, beforeEach, describe, it } from "../testing/describe.ts";
import {
  type EntryFixture,
  startEntryFixture,
} from "../testing/entry_fixture.ts";

const FLEET = `{
  // Comments are allowed.
  "resources": [
    { "kind": "team", "name": "team-a", "maxRunningCount": 2 },
    { "kind": "zone", "name": "zone-a", "region": "region-a" },
  ]
}`;

const FAILURES = [
  {
    title: "an unknown kind",
    args: ["get", "boat"],
    exitCode: 2,
    stderr: /remedy: use one of/,
  },
  {
    title: "an unknown name",
    args: ["get", "team", "none"],
    exitCode: 4,
    stderr: /notFound/,
  },
  {
    title: "a missing file",
    args: ["apply", "-f", "none.jsonc"],
    exitCode: 2,
    stderr: /none\.jsonc cannot be read/,
  },
  {
    title: "a label without a value",
    args: ["label", "team", "team-a", "colour"],
    exitCode: 2,
    stderr: /neither name=value nor name-/,
  },
  {
    title: "an unknown output format",
    args: ["status", "-o", "xml"],
    exitCode: 2,
    stderr: /use table or json/,
  },
  {
    title: "a malformed time",
    args: ["explain", "team/team-a", "--since", "yesterday"],
    exitCode: 2,
    stderr: /write a time such as/,
  },
  {
    title: "a missing file of a job",
    args: ["explain", "placement", "captures", "-f", "none.json"],
    exitCode: 2,
    stderr: /none\.json cannot be read/,
  },
  {
    title: "a key file that cannot be read",
    args: ["status", "--key-file", "none"],
    exitCode: 2,
    stderr: /--key-file none cannot be read/,
  },
  {
    title: "an entry that cannot be reached",
    args: ["status", "--url", "http://127.0.0.1:1"],
    exitCode: 6,
    stderr: /set --url or CARDAMOMSILL_URL/,
  },
  {
    title: "an outdated revision",
    args: ["apply", "-f", "fleet.jsonc", "--expected-revision", "0"],
    exitCode: 5,
    stderr: /conflict: .*\nremedy: /,
  },
];

describe("command line", () => {
  let entry: EntryFixture;
  let folder = "";
  beforeEach(async () => {
    entry = await startEntryFixture();
    folder = await mkdtemp(join(tmpdir(), "cardamomsill-cli-"));
    await writeFile(join(folder, "key"), entry.operatorKey);
    await writeFile(join(folder, "fleet.jsonc"), FLEET);
    await run(["apply", "-f", "fleet.jsonc"]);
  });
  afterEach(async () => {
    await entry.stop();
    await rm(folder, { recursive: true });
  });

  function run(args: readonly string[]): Promise<CommandResult> {
    const env = {
      CARDAMOMSILL_URL: entry.url,
      CARDAMOMSILL_KEY_FILE: join(folder, "key"),
    };
    const resolvedArgs = args.map((arg) =>
      arg === "fleet.jsonc" ? join(folder, arg) : arg
    );
    return runCommandLine(resolvedArgs, env);
  }

  async function readLabels(): Promise<unknown> {
    const result = await run(["get", "zone", "zone-a", "-o", "json"]);
    return JSON.parse(result.stdout).resource.labels;
  }

  describe("changes", () => {
    it("sets and removes labels", async () => {
      await run(["label", "zone", "zone-a", "service=out", "note=x"]);
      assert.equal(await readLabels(), { service: "out", note: "x" });
      await run(["label", "zone", "zone-a", "service-"]);
      assert.equal(await readLabels(), { note: "x" });
    });

    it("creates a key, prints its secret, and withdraws it", async () => {
      const created = await run(["key", "create", "key-a", "--team", "team-a"]);
      assert.match(created.stdout, /^[\w-]{43}\n$/);
      const withdrawn = await run(["key", "withdraw", "key-a"]);
      assert.is(withdrawn.exitCode, 0, withdrawn.stderr);
      const key = await run(["get", "key", "key-a", "-o", "json"]);
      assert.is(JSON.parse(key.stdout).resource.withdrawn, true);
    });

    it("prints resources as a table or as JSON", async () => {
      const table = await run(["get", "team"]);
      assert.match(
        table.stdout,
        /^NAME +REVISION +SET BY.*\nteam-a +1 +bootstrap/,
      );
      const json = await run(["get", "team", "-o", "json"]);
      assert.is(JSON.parse(json.stdout).items[0].resource.name, "team-a");
    });
  });

  describe("entries", () => {
    it("shows role, revision and lease of every entry", async () => {
      const result = await run(["entries"]);
      assert.match(result.stdout, /^ENTRY +ROLE +REVISION +LEASE LEFT\n/);
      assert.match(result.stdout, /^entry-1 +leader +1 +\d+ ms$/m);
    });
  });

  describe("failures name the setting, the value and the remedy", () => {
    for (const { title, args, exitCode, stderr } of FAILURES) {
      it(title, async () => {
        const result = await run(args);
        assert.is(result.exitCode, exitCode, result.stderr);
        assert.match(result.stderr, stderr);
      });
    }
  });

  describe("help", () => {
    for (
      const args of [["--help"], ["apply", "--help"], [
        "key",
        "create",
        "--help",
      ]]
    ) {
      it(args.join(" "), async () => {
        const result = await run(args);
        assert.is(result.exitCode, 0);
        assert.match(result.stdout, /cardamomsill/);
      });
    }
  });
});
