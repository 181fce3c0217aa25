.PHONY: build test lint run clean

build: .venv/made-from

.venv/made-from: requirements.txt
	python3 -m venv --clear .venv
	.venv/bin/pip install -q --disable-pip-version-check -r requirements.txt
	cp requirements.txt $@

.venv-dev/made-from: requirements-dev.txt requirements.txt
	python3 -m venv --clear .venv-dev
	.venv-dev/bin/pip install -q --disable-pip-version-check -r requirements-dev.txt
	cat requirements-dev.txt requirements.txt > $@

test: .venv-dev/made-from
	bash tests/run

lint: .venv-dev/made-from
	bash tests/lint

# make run CONFIG=config.json
run: build
	.venv/bin/python -O -m rainspindle serve --config $(CONFIG)

clean:
	rm -rf .venv .venv-dev
