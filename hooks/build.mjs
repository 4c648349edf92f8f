// Builds every .wat of this directory and of the tests' into the .wasm beside it. Needs: npm install wabt@1.0.36
import { readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { createHash } from 'node:crypto';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createRequire } from 'node:module';

const here = dirname(fileURLToPath(import.meta.url));
const wabt = await createRequire(join(process.cwd(), 'x.js'))('wabt')();
const leb = n => n < 128 ? [n] : [n & 127 | 128, ...leb(n >>> 7)];
for (const dir of [here, join(here, '../src/test/resources/hooks')]) {
  for (const file of readdirSync(dir).filter(f => f.endsWith('.wat')).sort()) {
    const source = readFileSync(join(dir, file));
    const module = wabt.parseWat(file, source.toString('latin1') + ' ');
    module.validate();
    const binary = Buffer.from(module.toBinary({}).buffer);
    // A custom section with the source's digest: the tests check by it that the two belong together.
    const name = Buffer.from('source-sha256');
    const digest = createHash('sha256').update(source).digest();
    const body = Buffer.concat([Buffer.from(leb(name.length)), name, digest]);
    const built = Buffer.concat([binary, Buffer.from([0, ...leb(body.length)]), body]);
    writeFileSync(join(dir, file.replace('.wat', '.wasm')), built);
    console.log(file, built.length);
  }
}
