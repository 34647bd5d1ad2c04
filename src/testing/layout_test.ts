import { readdir, readFile } from "node:fs/promises";
import { join, relative } from "node:path";
import { fileURLToPath } from "node:url";
import * as assert from "uvu/assert";
import { describe, it } from "./describe.ts";

const SOURCE_FOLDER = fileURLToPath(new URL("../../src/", import.meta.url));

/** Folders that the files of a folder may import from, besides their own. */
const ALLOWED: Readonly<Record<string, readonly string[]>> = {
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

describe("layout", () => {
  for (const [folder, allowed] of Object.entries(ALLOWED)) {
    describe(folder, () => {
      it("imports inwards only", async () => {
        const imports = await listImports(folder);
        assert.ok(
          imports.length > 0,
          "the folder imports nothing; is the path right?",
        );
        const outward = imports.filter(({ target }) => target.startsWith("."))
          .filter((found) =>
            ![folder, ...allowed].includes(findTargetFolder(found))
          );
        assert.equal(outward, []);
      });

      it("knows neither sockets nor files nor codecs", async () => {
        const imports = await listImports(folder);
        const found = imports.filter(({ target }) =>
          FORBIDDEN_PACKAGES.test(target)
        );
        assert.equal(found, []);
      });
    });
  }
});
