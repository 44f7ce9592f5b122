"""Routing: the selection of engines by affinity, placement rules, state and load."""

from dataclasses import replace

from policy_driver import LOOKUP, REPORT, PolicyDriver, actions_of

from applevale import api


def test_all_instances_send_the_requests_of_a_table_group_to_the_same_engine():
    engines_by_seed = []
    for seed in (1, 2):
        driver = PolicyDriver(engines=7, seed=seed)
        engines_by_seed.append(
            [driver.send_request(table_group=float(group)).engine_id for group in range(20)]
        )
        assert len({driver.send_request(table_group=3.0).engine_id for _ in range(3)}) == 1
    assert engines_by_seed[0] == engines_by_seed[1]
    assert len(set(engines_by_seed[0])) > 3


def test_the_loss_of_an_engine_moves_only_the_table_groups_of_that_engine():
    before = PolicyDriver(engines=7)
    after = PolicyDriver(entries=tuple(api.EngineEntry(engine) for engine in range(1, 7)))
    for group in range(30):
        send_before = before.send_request(table_group=float(group))
        send_after = after.send_request(table_group=float(group))
        before.finish(send_before)
        after.finish(send_after)
        assert send_before.engine_id in (send_after.engine_id, 7)


def test_a_draining_engine_gets_no_new_requests():
    driver = PolicyDriver(engines=2)
    driver.handle(api.EngineList((api.EngineEntry(1, state=api.EngineState.DRAINING),)))
    for group in range(20):
        assert driver.send_request(table_group=float(group), work=0.05).engine_id == 2


def test_placement_rules_hold_even_if_the_only_allowed_engine_fails():
    bound = replace(REPORT, kinds=frozenset({1}))
    entries = (api.EngineEntry(1, kind=0), api.EngineEntry(2, kind=1))
    driver = PolicyDriver(entries=entries, classes=(LOOKUP, bound))
    send = driver.send_request(1, work=1.0)
    assert send.engine_id == 2
    later_actions = driver.finish(send, api.Result.ERROR) + driver.run(3.0)
    assert all(send.engine_id == 2 for send in actions_of(api.Send, later_actions))


def test_another_engine_is_selected_if_the_preferred_one_is_busy():
    driver = PolicyDriver(engines=3, gateways=100)
    request_id, _ = driver.submit(table_group=2.0)
    request = driver.pending_request(request_id)
    preferred = driver.controller.scheduler.engines_by_preference(request)[0].entry.engine_id
    for engine in (1, 2, 3):
        driver.report_load(engine, cpu=0.85 if engine == preferred else 0.3)
    assert driver.send_request(table_group=2.0).engine_id != preferred


def test_table_loads_avoid_the_engines_of_their_readers_and_have_a_high_priority():
    load = replace(REPORT, repeat=api.RepeatPolicy.UNSAFE, load=True, worth=0.1)
    engines_of_readers = set()
    engines_of_table_loads = set()
    priorities = set()
    for seed in range(30):
        classes = (replace(LOOKUP, yields=True), load)
        driver = PolicyDriver(engines=9, seed=seed, gateways=100, classes=classes)
        _, actions = driver.submit(0, table_group=4.0, work=0.05)
        engines_of_readers |= {send.engine_id for send in actions_of(api.Send, actions)}
        request_id, actions = driver.submit(1, table_group=4.0, work=3.0)
        engines_of_table_loads |= {send.engine_id for send in actions_of(api.Send, actions)}
        priorities |= {
            resources.priority
            for resources in driver.logged(api.SetResources)
            if resources.request_id == request_id
        }
    assert len(engines_of_readers) == 3
    assert len(engines_of_table_loads) > 3
    assert not engines_of_readers & engines_of_table_loads
    assert min(priorities) >= 2


def test_load_reports_show_the_load_of_other_instances_without_own_attempts():
    driver = PolicyDriver(engines=3, gateways=200)
    engine = driver.engine(1)
    # Without reports, an engine does not count as loaded by the other 199 instances.
    assert driver.controller.load.engine_load(engine) < 0.5
    driver.report_load(1, cpu=1.0)
    reported_load = driver.controller.load.engine_load(engine)
    assert reported_load > 1.5
    assert driver.controller.load.engine_load(driver.engine(2)) < reported_load
    only_instance = PolicyDriver(engines=3, gateways=1)
    only_instance.report_load(1, cpu=1.0)
    assert only_instance.controller.load.engine_load(only_instance.engine(1)) == 0.0


def test_the_cost_of_a_decision_does_not_grow_with_the_number_of_engines():
    load_reads = []
    for engines in (10, 400):
        driver = PolicyDriver(engines=engines, gateways=300)
        for engine in range(1, engines + 1):
            driver.report_load(engine, cpu=1.0)
        read_engines = []
        load = driver.controller.load.engine_load

        def counted_load(engine, read_engines=read_engines, load=load):
            read_engines.append(engine)
            return load(engine)

        driver.controller.load.engine_load = counted_load
        driver.submit(1, work=3.0)
        load_reads.append(len(read_engines))
    assert 0 < load_reads[0] == load_reads[1] < 10
