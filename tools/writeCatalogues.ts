import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { createCatalogues } from "./createCatalogues";

for (const { file, text } of createCatalogues()) {
    writeFileSync(join("docs", file), text);
}
