// Two client libraries as they are, against a running dispatcher: node as_they_are.cjs HOST PORT
// Whatever is not as they expect ends this with a message and exit status 1.
const assert = require('assert');
const Jackd = require('jackd').default || require('jackd');
const Fivebeans = require('fivebeans');
const [host, port] = [process.argv[2], Number(process.argv[3])];
const overdue = setTimeout(() => { console.error('no answer within 20 s'); process.exit(1); }, 20000);

async function jackd() {
  const producer = new Jackd(), worker = new Jackd();
  await producer.connect({host, port});
  await worker.connect({host, port});
  await producer.use('paint');
  await worker.watch('paint');
  await worker.ignore('default');
  const id = await producer.put({colour: 'red'}, {priority: 3, ttr: 30});
  const job = await worker.reserve();
  assert.strictEqual(String(job.id), String(id));
  assert.deepStrictEqual(JSON.parse(job.payload), {colour: 'red'});
  await worker.touch(job.id);
  await worker.release(job.id, {priority: 7, delay: 0});
  const again = await worker.reserveWithTimeout(1);
  assert.strictEqual(String(again.id), String(id));
  await worker.delete(again.id);
  await assert.rejects(worker.delete(again.id));
  await assert.rejects(worker.reserveWithTimeout(0));
  const delayed = await producer.put('later', {delay: 600});
  assert.strictEqual(String((await producer.peekDelayed()).id), String(delayed));
  await producer.kickJob(delayed);
  assert.strictEqual(String((await producer.peekReady()).id), String(delayed));
  const had = await worker.reserveJob(delayed);
  await worker.bury(had.id);
  assert.strictEqual(String((await producer.peekBuried()).id), String(delayed));
  assert.strictEqual((await producer.kick(10)) * 1, 1);
  // Not pauseTube: this version sends it without a line end, so no server can answer.
  assert.ok(JSON.stringify(await producer.listTubes()).includes('paint'));
  assert.ok(JSON.stringify(await producer.getCurrentTube()).includes('paint'));
  assert.ok(JSON.stringify(await worker.listTubesWatched()).includes('paint'));
  await producer.delete(delayed);
  await producer.quit();
  await worker.quit();
}

function fivebeans() {
  return new Promise((done, fail) => {
    const client = new Fivebeans.client(host, port);
    const step = (name, ...words) => new Promise((good, bad) => client[name](...words, (error, ...said) => error ? bad(new Error(name + ': ' + error)) : good(said)));
    client.on('error', fail).on('connect', async () => {
      try {
        await step('use', 'five');
        await step('watch', 'five');
        const [id] = await step('put', 5, 0, 30, 'payload');
        const [got, payload] = await step('reserve_with_timeout', 1);
        assert.strictEqual(String(got), String(id));
        assert.strictEqual(String(payload), 'payload');
        const [of_job] = await step('stats_job', id);
        assert.strictEqual(of_job.state, 'reserved');
        assert.strictEqual(of_job.tube, 'five');
        assert.strictEqual(of_job.pri, 5);
        await step('touch', id);
        await step('bury', id, 9);
        await step('peek_buried');
        await step('kick', 5);
        await step('reserve');
        await step('release', id, 1, 0);
        await step('destroy', id);
        const [of_tube] = await step('stats_tube', 'five');
        assert.strictEqual(of_tube.name, 'five');
        assert.strictEqual(of_tube['current-jobs-ready'], 0);
        const [all] = await step('stats');
        assert.ok(all['cmd-put'] >= 1);
        const [tubes] = await step('list_tubes');
        assert.ok(tubes.includes('five') && tubes.includes('default'));
        const [watched] = await step('list_tubes_watched');
        assert.deepStrictEqual(watched, ['default', 'five']);
        const [used] = await step('list_tube_used');
        assert.strictEqual(used, 'five');
        await assert.rejects(step('reserve_with_timeout', 0), /TIMED_OUT/);
        await step('pause_tube', 'five', 0);
        await step('ignore', 'default');
        await assert.rejects(step('ignore', 'five'), /NOT_IGNORED/);
        await assert.rejects(step('put', 1, 0, 1, 'x'.repeat(70000)), /JOB_TOO_BIG/);
        client.quit();
        done();
      } catch (e) { fail(e); }
    }).connect();
  });
}

jackd().then(fivebeans).then(() => {
  clearTimeout(overdue);
  console.log('jackd and fivebeans work as they are');
  console.log('2 passed, 0 failed');
  process.exit(0);
}, e => { console.error(e); process.exit(1); });
