import { readdir, readFile } from "node:fs/promises";
import { join, relative } from "node:path";
import { fileURLToPath } from "node:url";
import * as assert from "uvu/assert";
import { describe, it } from "./describe.ts";

const SOURCE_FOLDER = fileURLToPath(new URL("../../src/", import.meta.url));

/** Other folders from which the files of each folder may import. */
const ALLOWED_IMPORTS: Readonly<Record<string, readonly string[]>> = {
  domain: [],
  ports: ["domain"],
  tasks: ["ports"],
  decisions: ["domain", "ports"],
  replication: ["domain", "ports", "tasks"],
  services: ["domain", "ports", "tasks", "decisions"],
};

const FORBIDDEN_PACKAGES =
  /^(node:(net|http|https|fs|child_process|dgram)|undici|cbor-x|find-my-way)/;

interface Import {
  readonly file: string;
  readonly target: string;
}

async function listImports(folder: string): Promise<Import[]> {
  const names = await readdir(join(SOURCE_FOLDER, folder), { recursive: true });
  const files = names.filter((name) =>
    name.endsWith(".ts") && !name.endsWith("_test.ts")
  );
  const imports: Import[] = [];
  for (const name of files) {
    const text = await readFile(join(SOURCE_FOLDER, folder, name), "utf8");
    for (
      const match of text.matchAll(/(?:from|import)\s*\(?["']([^"']+)["']/g)
    ) {
      imports.push({ file: `${folder}/${name}`, target: match[1] ?? "" });
    }
  }
  return imports;
}

function findTargetFolder({ file, target }: Import): string {
  const path = join(SOURCE_FOLDER, file, "..", target);
  return relative(SOURCE_FOLDER, path).split("/")[0] ?? "";
}

const PLATFORM_FOLDER = fileURLToPath(
  new URL("../../platform/", import.meta.url),
);

/**
 * Names of the interface of the users' platform; they may occur only in the
 * folder `platform`.
 */
const WIRE_NAMES = [
  "fencing_token",
  "ack_cursor",
  "run_id",
  "mem_mb",
  "path_prefix",
  "depends_on",
  "long_running",
  "rack_sensitive",
  "anti_affinity",
  "may_miss",
  "api_keys",
  "machine-move",
  "Instances.Heartbeat",
  "Config.Replace",
  "Evacuate",
  "CARDAMOMSILL_BOOT",
];

/**
 * Folders with decision logic. Files in `platform` must not import them,
 * because they only translate between the users' platform and the product.
 */
const DECISION_FOLDERS = /\/(decisions|replication)\//;

async function readSources(folder: string): Promise<Map<string, string>> {
  const names = await readdir(folder, { recursive: true });
  const sources = names.filter((name) =>
    name.endsWith(".ts") && !name.endsWith("_test.ts")
  );
  const texts = await Promise.all(
    sources.map((name) => readFile(join(folder, name), "utf8")),
  );
  return new Map(sources.map((name, at) => [name, texts[at] ?? ""]));
}

function countLines(sources: ReadonlyMap<string, string>): number {
  return [...sources.values()].reduce(
    (sum, text) => sum + text.split("\n").length,
    0,
  );
}

describe("layout", () => {
  describe("platform", () => {
    it("is the only folder with names of the users' platform", async () => {
      const found: string[] = [];
      for (const [name, text] of await readSources(SOURCE_FOLDER)) {
        const words = WIRE_NAMES.filter((word) => text.includes(word));
        found.push(...words.map((word) => `${name}: ${word}`));
      }
      assert.equal(found, []);
    });

    it("imports no decision logic", async () => {
      const found: string[] = [];
      for (const [name, text] of await readSources(PLATFORM_FOLDER)) {
        const imports = text.matchAll(/from ["']([^"']+)["']/g);
        const decisionImports = [...imports].map((match) => match[1] ?? "")
          .filter((target) => DECISION_FOLDERS.test(target));
        found.push(...decisionImports.map((target) => `${name}: ${target}`));
      }
      assert.equal(found, []);
    });

    it("has less than a tenth as many lines as `src`", async () => {
      const source = countLines(await readSources(SOURCE_FOLDER));
      const platform = countLines(await readSources(PLATFORM_FOLDER));
      assert.ok(platform < source / 10, `${platform} of ${source} lines`);
    });
  });

  for (const [folder, allowed] of Object.entries(ALLOWED_IMPORTS)) {
    describe(folder, () => {
      it("imports only from the allowed folders", async () => {
        const imports = await listImports(folder);
        assert.ok(
          imports.length > 0,
          "no import found; the folder path may be wrong",
        );
        const outward = imports.filter(({ target }) => target.startsWith("."))
          .filter((found) =>
            ![folder, ...allowed].includes(findTargetFolder(found))
          );
        assert.equal(outward, []);
      });

      it("imports no package for network, files or encoding", async () => {
        const imports = await listImports(folder);
        const found = imports.filter(({ target }) =>
          FORBIDDEN_PACKAGES.test(target)
        );
        assert.equal(found, []);
      });
    });
  }
});
